#include "review/standins/standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

namespace review {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();
constexpr char kHost[] = "shop.example";
constexpr double kIdleTime = 60;

sockaddr_in AddressOf(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char it) { return std::tolower(it); });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  std::istringstream query(target.substr(target.find('?') + 1));
  for (std::string pair; std::getline(query, pair, '&');) {
    if (pair.rfind(name + "=", 0) == 0) {
      return Unescape(pair.substr(name.size() + 1));
    }
  }
  return "";
}

constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode64(const std::string& bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned n = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const bool has = i + k < bytes.size();
      n = n << 8U | (has ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool has = i + k <= bytes.size();
      out += has ? kDigits[n >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

std::string Decode64(const std::string& text) {
  std::string out;
  unsigned n = 0;
  int bits = 0;
  for (const char it : text) {
    const char* at = std::strchr(kDigits, it);
    if (it == '=' || at == nullptr) break;
    n = n << 6U | static_cast<unsigned>(at - kDigits);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out += static_cast<char>(n >> static_cast<unsigned>(bits) & 255U);
  }
  return out;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double>(std::max(seconds, 0.0)));
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", Now());
  out_ << time.data() << text << std::endl;
}

Socket::~Socket() {
  if (fd_ >= 0) close(fd_);
}

bool Socket::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool Socket::HasInput(double timeout) const {
  pollfd it{fd_, POLLIN, 0};
  return poll(&it, 1, static_cast<int>(std::max(timeout, 0.0) * 1000)) > 0;
}

bool Socket::Fill(double deadline) {
  if (!HasInput(deadline - Now())) return false;
  std::array<char, 65536> bytes{};
  const ssize_t n = recv(fd_, bytes.data(), bytes.size(), 0);
  if (n <= 0) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(n));
  return true;
}

std::optional<Message> Socket::Read(double timeout, bool is_answer) {
  const double deadline = Now() + timeout;
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(deadline)) return std::nullopt;
  }
  Message message;
  std::istringstream head(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  std::getline(head, message.first_line);
  message.first_line.erase(message.first_line.find_last_not_of('\r') + 1);
  for (std::string line; std::getline(head, line);) {
    line.erase(line.find_last_not_of('\r') + 1);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  if (message.headers.contains("transfer-encoding")) {
    for (;;) {
      std::size_t line = std::string::npos;
      while ((line = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(deadline)) return message;
      }
      const std::size_t size = std::stoul(buffer_, nullptr, 16);
      while (buffer_.size() < line + 2 + size + 2) {
        if (!Fill(deadline)) return message;
      }
      message.body += buffer_.substr(line + 2, size);
      buffer_.erase(0, line + 2 + size + 2);
      if (size == 0) break;
    }
  } else if (message.headers.contains("content-length")) {
    const std::size_t size = std::stoul(message.headers["content-length"]);
    while (buffer_.size() < size) {
      if (!Fill(deadline)) {
        message.body = buffer_;
        return message;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
  } else if (is_answer) {
    while (Fill(deadline)) {
    }
    message.body = std::exchange(buffer_, "");
  }
  message.is_complete = true;
  return message;
}

void Socket::Reset() {
  const linger hard{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  close(std::exchange(fd_, -1));
}

void Socket::Shutdown() const { shutdown(fd_, SHUT_RDWR); }

int StatusOf(const Message& answer) {
  const std::size_t blank = answer.first_line.find(' ');
  if (answer.first_line.rfind("HTTP/1.", 0) != 0) return 0;
  return std::atoi(answer.first_line.c_str() + blank);
}

std::string FormatAnswer(int status, const Headers& headers,
                         const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) out += name + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Listener::Listener(const std::string& ip, std::function<void(Socket&)> serve)
    : serve_(std::move(serve)) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip, 0);
  socklen_t size = sizeof(address);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    std::exit(kNotRun);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  fd_ = fd;
  thread_ = std::thread([this] { Accept(); });
}

Listener::~Listener() {
  Close();
  thread_.join();
}

void Listener::Close() {
  const int fd = fd_.exchange(-1);
  if (fd < 0) return;
  shutdown(fd, SHUT_RDWR);
  close(fd);
}

void Listener::Accept() {
  for (int listening = fd_; listening >= 0; listening = fd_) {
    const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    // Connections end with the process of the case.
    std::thread([serve = serve_, fd] {
      Socket socket(fd);
      serve(socket);
    }).detach();
  }
}

Store::Store(const std::string& ip) {
  listener_ = std::make_unique<Listener>(ip, [this](Socket& it) { Serve(it); });
  expiry_ = std::thread([this] { EndLeases(); });
}

Store::~Store() {
  is_ending_ = true;
  expiry_.join();
}

void Store::PutLocked(const std::string& key, const std::string& value,
                      std::uint64_t lease) {
  ++state_.revision;
  Item& item = state_.items[key];
  if (item.created == 0) item.created = state_.revision;
  item.value = value;
  item.revision = state_.revision;
  item.lease = lease;
  state_.events.push_back({key, state_.revision, false, item});
  changed_.notify_all();
}

void Store::RemoveLocked(const std::string& key) {
  if (state_.items.erase(key) == 0) return;
  state_.events.push_back({key, ++state_.revision, true, {}});
  changed_.notify_all();
}

void Store::EndLeaseLocked(std::uint64_t lease) {
  state_.leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : state_.items) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const auto& it : keys) RemoveLocked(it);
}

void Store::EndLeases() {
  while (!is_ending_) {
    Sleep(0.05);
    const std::lock_guard lock(mutex_);
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : state_.leases) {
      if (lease.ends_at < Now()) ended.push_back(id);
    }
    for (const std::uint64_t it : ended) EndLeaseLocked(it);
  }
}

void Store::Put(const std::string& key, const std::string& value,
                std::uint64_t lease) {
  const std::lock_guard lock(mutex_);
  PutLocked(key, value, lease);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  RemoveLocked(key);
}

void Store::MakeCopy() {
  const std::lock_guard lock(mutex_);
  copy_ = state_;
}

void Store::Drill(double away) {
  is_away_ = true;
  {
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
  }
  Sleep(away);
  const std::lock_guard lock(mutex_);
  state_ = copy_;
  for (auto& [id, lease] : state_.leases) {
    lease.ends_at = Now() + lease.time_to_live;
  }
  ++era_;
  is_away_ = false;
}

std::string Store::Respond(int status, const std::string& body) const {
  return FormatAnswer(status,
                      {{"Content-Type", "application/json"},
                       {"Store-Era", std::to_string(era_)}},
                      body);
}

void Store::Serve(Socket& socket) {
  while (const auto request = socket.Read(kIdleTime, false)) {
    Sleep(0.002);
    const int era = era_;
    if (is_away_) return;
    const std::string answer = Answer(*request);
    // A store that has gone away meanwhile answers nothing more.
    if (is_away_ || era != era_ || !socket.Write(answer)) return;
  }
}

std::string Store::Answer(const Message& request) {
  std::istringstream line(request.first_line);
  std::string method;
  std::string target;
  line >> method >> target;
  if (target.rfind("/v1/kv-range", 0) == 0) return Range(target);
  if (target.rfind("/v1/kv-watch", 0) == 0) return Watch(target);
  if (target.rfind("/v1/kv-txn", 0) == 0) return Transact(request.body);
  const std::lock_guard lock(mutex_);
  const std::string last = target.substr(target.rfind('/') + 1);
  if (target == "/v1/kv-lease") {
    const double time = json::parse(request.body).at("ttl_s_time");
    state_.leases[++last_lease_] = {time, Now() + time};
    const json body = {{"lease", last_lease_}, {"ttl_s_time", time}};
    return Respond(200, body.dump());
  }
  if (target.rfind("/v1/kv-keep/", 0) == 0) {
    const auto it = state_.leases.find(std::stoull(last));
    if (it == state_.leases.end()) return Respond(404, "{}");
    it->second.ends_at = Now() + it->second.time_to_live;
    const json body = {{"ttl_s_time", it->second.time_to_live}};
    return Respond(200, body.dump());
  }
  if (target.rfind("/v1/kv-lease-end/", 0) == 0) {
    EndLeaseLocked(std::stoull(last));
    return Respond(200, "{}");
  }
  return Respond(404, "{}");
}

std::string Store::Range(const std::string& target) {
  const std::string prefix = QueryValue(target, "prefix");
  const std::string after = QueryValue(target, "after");
  const std::lock_guard lock(mutex_);
  json items = json::array();
  for (const auto& [key, item] : state_.items) {
    if (key.rfind(prefix, 0) != 0 || key <= after) continue;
    items.push_back({{"key", key},
                     {"value", Encode64(item.value)},
                     {"rev", item.revision},
                     {"create_revision", item.created},
                     {"lease", item.lease}});
  }
  const json body = {{"items", items},
                     {"truncated", false},
                     {"store_revision", state_.revision}};
  return Respond(200, body.dump());
}

std::string Store::Watch(const std::string& target) {
  const std::string prefix = QueryValue(target, "prefix");
  const std::uint64_t after = std::stoull(QueryValue(target, "after"));
  const auto wait =
      std::chrono::milliseconds(std::stoi(QueryValue(target, "wait_ms")));
  json events = json::array();
  std::unique_lock lock(mutex_);
  // A revision that the store doesn't have, after a drill.
  if (after > state_.revision) return Respond(410, "{}");
  const auto collect = [&] {
    for (const Event& it : state_.events) {
      if (it.revision <= after || it.key.rfind(prefix, 0) != 0) continue;
      if (it.is_removal) {
        events.push_back(
            {{"key", it.key}, {"rev", it.revision}, {"removed", true}});
      } else {
        events.push_back({{"key", it.key},
                          {"value", Encode64(it.item.value)},
                          {"rev", it.revision},
                          {"create_revision", it.item.created},
                          {"lease", it.item.lease}});
      }
    }
    return !events.empty() || is_away_;
  };
  changed_.wait_for(lock, wait, collect);
  const json body = {{"events", events}, {"store_revision", state_.revision}};
  return Respond(200, body.dump());
}

std::string Store::Transact(const std::string& body) {
  const json call = json::parse(body);
  const std::lock_guard lock(mutex_);
  for (const auto& it : call.at("puts")) {
    const std::uint64_t lease = it.at("lease");
    if (lease != 0 && !state_.leases.contains(lease)) {
      return Respond(404, "{}");
    }
  }
  for (const auto& it : call.at("puts")) {
    PutLocked(it.at("key"), Decode64(it.at("value")), it.at("lease"));
  }
  for (const auto& it : call.at("deletes")) RemoveLocked(it);
  return Respond(200, json{{"rev", state_.revision}}.dump());
}

Server::Server(const Options& options, Run run)
    : options_(options), run_(std::move(run)) {
  listener_ =
      std::make_unique<Listener>(options.ip, [this](Socket& it) { Serve(it); });
}

Server::~Server() = default;

std::string Server::Entry() const {
  const json info = {{"service", options_.service},
                     {"version", "v1"},
                     {"zone", options_.zone},
                     {"max_concurrency", options_.slots}};
  const json status = {{"state", "ready"}, {"seq", 1}, {"warmup_left_s", 0}};
  return json{{"addr", options_.ip + ":" + std::to_string(listener_->port())},
              {"info", info},
              {"status", status}}
      .dump();
}

void Server::Serve(Socket& socket) {
  while (const auto request = socket.Read(kIdleTime, false)) {
    const auto value = [&](const char* name) {
      const auto it = request->headers.find(name);
      return it == request->headers.end() ? std::string() : it->second;
    };
    const std::string expected = value("x-expect-instance");
    if (!expected.empty() && expected != options_.id) {
      socket.Write(FormatAnswer(421, {{"X-Instance-Id", options_.id}}, ""));
      continue;
    }
    if (request->first_line.find(" /healthz ") != std::string::npos) {
      socket.Write(FormatAnswer(200, {{"X-Instance-Id", options_.id}}, ""));
      continue;
    }
    constexpr int kQueue = 4;
    if (++in_use_ > options_.slots + kQueue) {
      --in_use_;
      socket.Write(FormatAnswer(
          503,
          {{"X-Not-Executed", "1"}, {"X-Request-Id", value("x-request-id")}},
          ""));
      continue;
    }
    const bool stays = run_(*request, socket);
    --in_use_;
    if (!stays) return;
  }
}

Entry::Entry(const std::string& ip, const std::string& name,
             std::uint16_t store, const std::string& directory, int grace,
             int memory)
    : ip_(ip),
      settings_(directory + "/" + name + ".toml"),
      output_(directory + "/" + name + ".out") {
  std::set<std::uint16_t> ports;
  while (ports.size() < 5) ports.insert(FreePort(ip));
  std::vector<std::uint16_t> p(ports.begin(), ports.end());
  front_ = p[0];
  ready_ = p[1];
  const auto at = [&](std::uint16_t port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"";
  };
  std::ofstream out(settings_);
  out << "[local_node]\nnode_name = \"" << name
      << "\"\nrole = \"entry\"\nmachine_class = \"edge\"\n"
         "serves = [\"edge\",\"registry\",\"control\"]\nip = \""
      << ip
      << "\"\nzone = \"uio-a\"\nregion = \"uio\"\ncounts_as_loss = false\n"
         "bootstrap = true\n[local_node.limits]\ncpu_share = 0.2\nvcpus = 1\n"
         "memory_limit_mb = "
      << memory
      << "\nmax_fds = 4100\nlink_mbps = 1000.0\n"
         "disk_mb = 0\n[net]\ninternal_ports = ["
      << p[4] << "," << p[4] << "]\nseeds = [" << at(p[2])
      << "]\n[net.listen]\nfront = " << at(p[0]) << "\nready = " << at(p[1])
      << "\ncontrol = " << at(p[2]) << "\ndirectory = " << at(p[3])
      << "\n[net.zones]\nuio-a = \"uio\"\n[provider]\n"
         "discovery = \"platform\"\nentry = \"registry\"\nheartbeat_s = 1.5\n"
         "[provider.provider]\naddr = \""
      << ip << ":" << store
      << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
         "history_s = 20\nvalue_bytes = 1048576\nttl_min_s = 1\n[terms]\n"
         "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
         "\"recover\",\"health\",\"platform\"]\n[terms.fault_tolerance]\n"
         "machines = 2\nzones = 0\nregions = 0\n[terms.bounds]\n"
         "seed_lag_s = 3\nreuse_after_s = 2\nstable_s = 3\nack_s = 4\n"
         "sync_s = 4\ndrain_s = 2\ngrace_s = "
      << grace
      << "\nloss_slack_s = 0.2\n"
         "apply_s = 2\nrevert_s = 0.25\nouter_s = 5\nretry_ratio = 0.2\n"
         "retry_window_s = 10\nretry_slack = 62\nrecover_s = 15\n"
         "ttl_max_s = 5\nprobes_per_s = 3\nfloor_share = 0.7\n";
}

Entry::~Entry() {
  if (pid_ <= 0) return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Entry::Start() {
  // The command of deploy/system.toml; the metrics port is free on the
  // address of this run.
  static char program[] = "target/bin/ibisladder-entry";
  static char metrics[] = "--metrics_port=9464";
  const std::string boot = "IBISLADDER_BOOT=" + settings_;
  std::string path = "PATH=/usr/bin:/bin";
  std::string boot_copy = boot;
  char* argv[] = {program, metrics, nullptr};
  char* envp[] = {path.data(), boot_copy.data(), nullptr};
  const int out = open(output_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execve(program, argv, envp);
    _exit(127);
  }
  close(out);
}

void Entry::Signal(int number) const {
  if (pid_ > 0) kill(pid_, number);
}

std::optional<std::string> Entry::Ended() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = -1;
  if (WIFSIGNALED(status)) {
    return std::string("signal ") + std::to_string(WTERMSIG(status)) + " (" +
           strsignal(WTERMSIG(status)) + ")";
  }
  return "exit status " + std::to_string(WEXITSTATUS(status));
}

bool Entry::AwaitReady(double timeout) const {
  for (const double end = Now() + timeout; Now() < end; Sleep(0.1)) {
    const int fd = Connect(ip_, ready_);
    if (fd < 0) continue;
    Socket socket(fd);
    socket.Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto answer = socket.Read(1, true);
    if (answer && StatusOf(*answer) == 200) return true;
  }
  return false;
}

std::string Entry::LastOutput() const {
  std::ifstream in(output_);
  std::string last;
  for (std::string line; std::getline(in, line);) {
    // The log has one JSON object a line; anything else is of the runtime.
    if (!line.empty() && line.front() != '{') last += line + "\n";
  }
  return last;
}

double Entry::PeakMemory() const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

std::string RandomLoopback() {
  std::random_device device;
  const auto part = [&] { return std::to_string(1 + device() % 250); };
  return "127." + part() + "." + part() + "." + part();
}

std::uint16_t FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip, 0);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    std::exit(kNotRun);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

int Connect(const std::string& ip, std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

std::string MakeDirectory() {
  const char* parent = std::getenv("TMPDIR");
  std::string pattern =
      std::string(parent == nullptr ? "/tmp" : parent) + "/review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) std::exit(kNotRun);
  return pattern;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string Configuration(int version, const std::vector<Route>& routes) {
  json resources = json::array();
  std::set<std::string> services;
  for (const Route& it : routes) {
    services.insert(it.service);
    resources.push_back({{"entry_kind", "routes"},
                         {"meta", {{"name", "r" + it.prefix}}},
                         {"spec",
                          {{"host", kHost},
                           {"prefix", it.prefix},
                           {"kind", it.kind},
                           {"timeout_s", it.timeout},
                           {"target_latency_s", it.target_latency},
                           {"priority", it.priority},
                           {"service", it.service},
                           {"max_attempts", 2}}}});
  }
  for (const auto& it : services) {
    resources.push_back({{"entry_kind", "services"},
                         {"meta", {{"name", it}}},
                         {"spec",
                          {{"health_path", "/healthz"},
                           {"max_conns", 390},
                           {"proto", "h1"},
                           {"tls", false}}}});
  }
  resources.push_back({{"entry_kind", "limits"},
                       {"meta", json::object()},
                       {"spec",
                        {{"header_bytes", 16384},
                         {"body_bytes", 67108864},
                         {"header_timeout_s", 3},
                         {"idle_timeout_s", 15}}}});
  return json{{"version", version}, {"resources", resources}}.dump();
}

}  // namespace review
