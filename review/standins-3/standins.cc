#include "review/standins-3/standins.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace ibisladder::review {
namespace {

using nlohmann::json;

constexpr char kLineEnd[] = "\r\n";
constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr int kBacklog = 256;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusGone = 410;
constexpr Millis kReadyTimeout(15000);
constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string LowerCase(std::string text) {
  for (char& it : text) {
    if (it >= 'A' && it <= 'Z') it = static_cast<char>(it - 'A' + 'a');
  }
  return text;
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

void SetTimeout(int fd, Millis timeout) {
  constexpr int kThousand = 1000;
  timeval time{};
  time.tv_sec = timeout.count() / kThousand;
  time.tv_usec = timeout.count() % kThousand * kThousand;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Returns a listening socket and its port.
std::pair<int, int> ListenOnFreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool is_listening = fd >= 0 && bind(fd, generic, size) == 0 &&
                            listen(fd, kBacklog) == 0 &&
                            getsockname(fd, generic, &size) == 0;
  if (!is_listening) throw std::runtime_error("no port can be bound");
  return {fd, ntohs(address.sin_port)};
}

int FindFreePort() {
  const auto [fd, port] = ListenOnFreePort();
  close(fd);
  return port;
}

std::string Encode(const std::string& bytes) {
  constexpr std::size_t kGroup = 3;
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += kGroup) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < kGroup; ++k) {
      const bool is_in = i + k < bytes.size();
      bits = (bits << 8U) |
             (is_in ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k <= kGroup; ++k) {
      const std::size_t shift = 18 - 6 * k;
      out += i + k > bytes.size() ? '=' : kBase64[(bits >> shift) & 63U];
    }
  }
  return out;
}

std::string Decode(const std::string& text) {
  std::string out;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char it : text) {
    const char* at = std::strchr(kBase64, it);
    if (it == '\0' || at == nullptr) break;
    bits = (bits << 6U) | static_cast<std::uint32_t>(at - kBase64);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    out += static_cast<char>((bits >> count) & 255U);
  }
  return out;
}

std::string Unescape(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(
          std::stoi(text.substr(i + 1, 2), nullptr, kHexadecimal));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> result;
  const std::size_t start = target.find('?');
  if (start == std::string::npos) return result;
  std::istringstream fields(target.substr(start + 1));
  std::string field;
  while (std::getline(fields, field, '&')) {
    const std::size_t sign = field.find('=');
    if (sign == std::string::npos) continue;
    result[field.substr(0, sign)] = Unescape(field.substr(sign + 1));
  }
  return result;
}

std::string TextAt(const std::map<std::string, std::string>& query,
                   const std::string& name) {
  const auto it = query.find(name);
  return it == query.end() ? "" : it->second;
}

std::uint64_t NumberAt(const std::map<std::string, std::string>& query,
                       const std::string& name) {
  const std::string text = TextAt(query, name);
  return text.empty() ? 0 : std::stoull(text);
}

/// Returns the second word of a request line.
std::string TargetOf(const Message& request) {
  std::istringstream in(request.start_line);
  std::string method;
  std::string target;
  in >> method >> target;
  return target;
}

std::string LastSegment(const std::string& path) {
  return path.substr(path.rfind('/') + 1);
}

}  // namespace

std::optional<std::string> FieldOf(const Message& message,
                                   const std::string& name) {
  for (const auto& [key, value] : message.headers) {
    if (LowerCase(key) == LowerCase(name)) return value;
  }
  return std::nullopt;
}

int StatusOf(const Message& answer) {
  std::istringstream in(answer.start_line);
  std::string version;
  int status = 0;
  in >> version >> status;
  return status;
}

std::string Format(const Message& message) {
  std::string out = message.start_line + kLineEnd;
  for (const auto& [name, value] : message.headers)
    out.append(name).append(": ").append(value).append(kLineEnd);
  out += "Content-Length: " + std::to_string(message.body.size()) + kHeadEnd;
  return out + message.body;
}

Connection::Connection(int port, Millis timeout) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetTimeout(fd_, timeout);
  const sockaddr_in address = Loopback(port);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd_);
    fd_ = -1;
  }
}

std::unique_ptr<Connection> Connection::OfSocket(int fd) {
  std::unique_ptr<Connection> result(new Connection);
  result->fd_ = fd;
  SetTimeout(fd, Millis(60000));
  return result;
}

Connection::~Connection() {
  if (fd_ >= 0) close(fd_);
}

bool Connection::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool Connection::Fill() {
  std::array<char, 65536> buf{};
  const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
  if (n <= 0) return false;
  input_.append(buf.data(), static_cast<std::size_t>(n));
  return true;
}

std::optional<Message> Connection::Receive() {
  std::size_t head_end = 0;
  while ((head_end = input_.find(kHeadEnd)) == std::string::npos) {
    if (!Fill()) return std::nullopt;
  }
  Message result;
  std::istringstream head(input_.substr(0, head_end));
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(": ");
    if (result.start_line.empty()) {
      result.start_line = line;
    } else if (colon != std::string::npos) {
      result.headers.emplace_back(line.substr(0, colon),
                                  line.substr(colon + 2));
    }
  }
  input_.erase(0, head_end + std::strlen(kHeadEnd));
  const std::size_t length =
      std::stoull(FieldOf(result, "Content-Length").value_or("0"));
  while (input_.size() < length) {
    if (!Fill()) return std::nullopt;
  }
  result.body = input_.substr(0, length);
  input_.erase(0, length);
  return result;
}

bool Connection::HasEnded() const {
  char byte = 0;
  const ssize_t n = recv(fd_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Message MakeAnswer(int status, Headers headers, std::string body) {
  return {"HTTP/1.1 " + std::to_string(status) + " Status", std::move(headers),
          std::move(body)};
}

Message Ask(Connection& connection, const Message& request) {
  if (!connection.Send(Format(request))) return {};
  return connection.Receive().value_or(Message{});
}

Listener::Listener(Handler handler) : handler_(std::move(handler)) {
  const auto [fd, port] = ListenOnFreePort();
  port_ = port;
  std::thread([this, fd = fd] { Accept(fd); }).detach();
}

void Listener::Accept(int fd) {
  while (true) {
    const int socket = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    std::thread([this, socket] {
      const auto connection = Connection::OfSocket(socket);
      while (const auto request = connection->Receive()) {
        if (!handler_(*connection, *request)) return;
      }
    }).detach();
  }
}

Store::Store()
    : listener_([this](Connection& connection, const Message& request) {
        return Handle(connection, request);
      }) {
  std::thread([this] {
    constexpr Millis kInterval(50);
    while (true) {
      std::this_thread::sleep_for(kInterval);
      EndLapsedLeases();
    }
  }).detach();
}

Clock::time_point Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Set(key, value, 0);
  return Clock::now();
}

void Store::Set(const std::string& key, const std::string& value,
                std::uint64_t lease) {
  contents_.items[key] = {value, ++contents_.revision, lease};
  contents_.events.push_back({key, value, contents_.revision, lease});
  changed_.notify_all();
}

bool Store::Handle(Connection& connection, const Message& request) {
  if (is_away_) return false;
  const int era = era_;
  const std::string target = TargetOf(request);
  const std::string path = target.substr(0, target.find('?'));
  std::string body;
  if (path == "/v1/kv-range") {
    body = List(QueryOf(target));
  } else if (path == "/v1/kv-watch") {
    body = Watch(QueryOf(target));
  } else if (path == "/v1/kv-lease") {
    body = Grant(request.body);
  } else if (path.starts_with("/v1/kv-keep/")) {
    body = Renew(std::stoull(LastSegment(path)));
  } else if (path.starts_with("/v1/kv-lease-end/")) {
    const std::lock_guard lock(mutex_);
    EndLease(std::stoull(LastSegment(path)));
    body = "{}";
  } else if (path == "/v1/kv-txn") {
    body = Write(request.body);
  }
  // The replies to calls from before a drill are lost.
  if (is_away_ || era != era_) return false;
  int status = body.empty() ? kStatusNotFound : kStatusOk;
  if (body.empty() && path == "/v1/kv-watch") status = kStatusGone;
  return connection.Send(
      Format(MakeAnswer(status,
                        {{"Content-Type", "application/json"},
                         {"Store-Era", std::to_string(era)}},
                        std::move(body))));
}

void Store::MakeCopy() {
  const std::lock_guard lock(mutex_);
  copy_ = contents_;
}

void Store::Leave() {
  is_away_ = true;
  changed_.notify_all();
}

void Store::Restore() {
  const std::lock_guard lock(mutex_);
  contents_ = copy_;
  // The leases of the copy run on.
  for (auto& [id, it] : contents_.leases) {
    it.ends_at = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                    std::chrono::duration<double>(it.seconds));
  }
  ++era_;
  is_away_ = false;
}

std::string Store::List(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  json items = json::array();
  for (const auto& [key, it] : contents_.items) {
    const bool is_listed = key.starts_with(TextAt(query, "prefix")) &&
                           key > TextAt(query, "after");
    if (!is_listed) continue;
    items.push_back({{"key", key},
                     {"value", Encode(it.value)},
                     {"rev", it.revision},
                     {"create_revision", it.revision},
                     {"lease", it.lease}});
  }
  return json{{"items", items},
              {"truncated", false},
              {"store_revision", contents_.revision}}
      .dump();
}

std::string Store::Watch(const std::map<std::string, std::string>& query) {
  const std::string prefix = TextAt(query, "prefix");
  const std::uint64_t after = NumberAt(query, "after");
  const auto is_due = [&](const Event& it) {
    return it.revision > after && it.key.starts_with(prefix);
  };
  std::unique_lock lock(mutex_);
  if (after > contents_.revision) return "";
  changed_.wait_for(lock, Millis(NumberAt(query, "wait_ms")), [&] {
    return is_away_ || std::ranges::any_of(contents_.events, is_due);
  });
  json events = json::array();
  for (const Event& it : contents_.events) {
    if (!is_due(it)) continue;
    json event = {{"key", it.key}, {"rev", it.revision}};
    if (it.value) {
      event["value"] = Encode(*it.value);
      event["create_revision"] = it.revision;
      event["lease"] = it.lease;
    } else {
      event["removed"] = true;
    }
    events.push_back(std::move(event));
  }
  return json{{"events", events}, {"store_revision", contents_.revision}}
      .dump();
}

std::string Store::Grant(const std::string& body) {
  const double seconds = json::parse(body).at("ttl_s_time").get<double>();
  const std::lock_guard lock(mutex_);
  contents_.leases[++contents_.last_lease] = {
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(seconds)),
      seconds};
  return json{{"lease", contents_.last_lease}, {"ttl_s_time", seconds}}.dump();
}

std::string Store::Renew(std::uint64_t lease) {
  const std::lock_guard lock(mutex_);
  const auto it = contents_.leases.find(lease);
  if (it == contents_.leases.end()) return "";
  it->second.ends_at =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double>(it->second.seconds));
  return json{{"ttl_s_time", it->second.seconds}}.dump();
}

std::string Store::Write(const std::string& body) {
  const json document = json::parse(body);
  const std::lock_guard lock(mutex_);
  for (const json& it : document.at("puts")) {
    const auto lease = it.at("lease").get<std::uint64_t>();
    if (lease != 0 && !contents_.leases.contains(lease)) return "";
  }
  for (const json& it : document.at("puts")) {
    Set(it.at("key").get<std::string>(),
        Decode(it.at("value").get<std::string>()),
        it.at("lease").get<std::uint64_t>());
  }
  return json{{"rev", contents_.revision}}.dump();
}

void Store::EndLease(std::uint64_t lease) {
  contents_.leases.erase(lease);
  for (auto it = contents_.items.begin(); it != contents_.items.end();) {
    if (it->second.lease != lease) {
      ++it;
      continue;
    }
    contents_.events.push_back(
        {it->first, std::nullopt, ++contents_.revision, 0});
    it = contents_.items.erase(it);
  }
  changed_.notify_all();
}

void Store::EndLapsedLeases() {
  const std::lock_guard lock(mutex_);
  std::vector<std::uint64_t> lapsed;
  for (const auto& [id, it] : contents_.leases) {
    if (it.ends_at < Clock::now()) lapsed.push_back(id);
  }
  for (const std::uint64_t it : lapsed) EndLease(it);
}

void Runs::Add(Run run) {
  const std::lock_guard lock(mutex_);
  runs_.push_back(std::move(run));
}

std::vector<Run> Runs::Of(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  std::vector<Run> result;
  for (const Run& it : runs_) {
    if (IdOf(it.request) == request_id) result.push_back(it);
  }
  return result;
}

std::string ServerValue(int port, const std::string& service) {
  return json{
      {"addr", "127.0.0.1:" + std::to_string(port)},
      {"info",
       {{"service", service},
        {"version", "v1"},
        {"zone", "a"},
        {"max_concurrency", kSlots}}},
      {"status", {{"state", "ready"}, {"seq", 1}, {"warmup_left_s", 0}}}}
      .dump();
}

BackendServer::BackendServer(Store& store, Runs& runs, std::string id,
                             const std::string& service)
    : runs_(runs),
      id_(std::move(id)),
      listener_([this](Connection& connection, const Message& request) {
        return Handle(connection, request);
      }) {
  store.Put("servers/" + id_, ServerValue(listener_.port(), service));
}

bool BackendServer::Handle(Connection& connection, const Message& request) {
  constexpr int kStatusMisdirected = 421;
  constexpr Millis kWork(20);
  if (TargetOf(request) == "/healthz") {
    return connection.Send(
        Format(MakeAnswer(kStatusOk, {{"X-Instance-Id", id_}}, "")));
  }
  if (FieldOf(request, "X-Expect-Instance").value_or(id_) != id_) {
    return connection.Send(
        Format(MakeAnswer(kStatusMisdirected, {{"X-Instance-Id", id_}}, "")));
  }
  runs_.Add({id_, {request.start_line, request.headers, ""}});
  std::this_thread::sleep_for(kWork);
  return connection.Send(
      Format(MakeAnswer(kStatusOk,
                        {{"X-Request-Id", IdOf(request)},
                         {"X-Response-Signature", "signature-of-" + id_}},
                        "done")));
}

std::string Format(const Configuration& configuration) {
  const bool has_keys = !configuration.organisation.empty();
  const auto route = [&](const char* name, const char* kind) {
    json spec = {
        {"host", kHost},         {"prefix", "/" + std::string(name) + "/"},
        {"kind", kind},          {"timeout_s", 8},
        {"target_latency_s", 1}, {"priority", 1},
        {"max_attempts", 2},     {"service", "shop"}};
    if (has_keys) spec["public"] = false;
    return json{
        {"entry_kind", "routes"}, {"meta", {{"name", name}}}, {"spec", spec}};
  };
  json items = {route("charge", "non_idempotent"),
                route("browse", "idempotent")};
  items.push_back(
      {{"entry_kind", "services"},
       {"meta", {{"name", "shop"}}},
       {"spec", {{"health_path", "/healthz"}, {"max_conns", 300}}}});
  if (has_keys) {
    items.push_back({{"entry_kind", "tenants"},
                     {"meta", {{"name", configuration.organisation}}},
                     {"spec", {{"api_keys", configuration.keys}}}});
  }
  items.push_back({{"entry_kind", "limits"},
                   {"meta", json::object()},
                   {"spec",
                    {{"header_bytes", 16384},
                     {"body_bytes", configuration.body_bytes},
                     {"header_timeout_s", 3},
                     {"idle_timeout_s", 15}}}});
  return json{{"version", configuration.version}, {"resources", items}}.dump();
}

Entry::Entry(const Store& store, const std::string& directory,
             const std::string& name, int memory_limit_mb)
    : directory_(directory),
      name_(name),
      callers_(FindFreePort()),
      ready_(FindFreePort()),
      metrics_(FindFreePort()) {
  const auto endpoint = [](int port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
  };
  std::ofstream(directory_ + "/" + name_ + ".toml")
      << "[local_node]\nnode_name = \"" << name_
      << "\"\nip = \"127.0.0.1\"\nzone = \"a\"\nregion = \"r\"\n"
      << "serves = [\"edge\",\"control\",\"registry\"]\nbootstrap = true\n"
      << "[local_node.limits]\ncpu_share = 0.2\nvcpus = 1\nmemory_limit_mb = "
      << memory_limit_mb << "\nmax_fds = 4100\nlink_mbps = 1000.0\n"
      << "[net]\ninternal_ports = [" << FindFreePort() << "]\n"
      << "[net.listen]\nfront = " << endpoint(callers_)
      << "ready = " << endpoint(ready_)
      << "control = " << endpoint(FindFreePort())
      << "directory = " << endpoint(FindFreePort())
      << "[provider]\ndiscovery = \"platform\"\nheartbeat_s = 1.5\n"
      << "[provider.provider]\naddr = " << endpoint(store.port())
      << "form = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
      << "[terms.bounds]\nstable_s = 3\ndrain_s = 2\ngrace_s = 6\n"
      << "apply_s = 2\nretry_ratio = 0.2\nretry_slack = 62\nttl_max_s = 5\n"
      << "strict_revoke = true\nrevoke_s = 5\nfloor_share = 0.7\n";
  Start();
  AwaitReady();
}

Entry::~Entry() { Stop(); }

void Entry::Start() {
  const std::string variable =
      "IBISLADDER_BOOT=" + directory_ + "/" + name_ + ".toml";
  const std::string log = directory_ + "/" + name_ + ".log";
  const std::string port = "--metrics_port=" + std::to_string(metrics_);
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("no process can be started");
  if (pid_ > 0) return;
  // Ends with the case, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (std::freopen(log.c_str(), "a", stdout) == nullptr) _exit(kCouldNotRun);
  std::array<char*, 2> environment = {const_cast<char*>(variable.c_str()),
                                      nullptr};
  std::array<char*, 3> arguments = {
      const_cast<char*>("target/bin/ibisladder-entry"),
      const_cast<char*>(port.c_str()), nullptr};
  execve(arguments[0], arguments.data(), environment.data());
  _exit(kCouldNotRun);
}

void Entry::Stop() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

void Entry::Restart() {
  Stop();
  Start();
}

void Entry::AwaitReady() {
  const auto end = Clock::now() + kReadyTimeout;
  while (Clock::now() < end) {
    Connection connection(ready_);
    const Message question{"GET /v1/ready HTTP/1.1", {{"Host", kHost}}, ""};
    if (connection.is_open() &&
        StatusOf(Ask(connection, question)) == kStatusOk) {
      return;
    }
    std::this_thread::sleep_for(Millis(20));
  }
  throw std::runtime_error("an instance does not become ready");
}

bool Entry::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
  return pid_ > 0;
}

std::int64_t Entry::PeakMemoryKb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string word;
  std::int64_t value = 0;
  while (status >> word) {
    if (word == "VmHWM:") status >> value;
  }
  return value;
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder can be made");
  path_ = pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ec;
  std::filesystem::remove_all(path_, ec);
}

void Record::Write(const std::string& line) {
  const auto time =
      std::chrono::duration_cast<Millis>(Clock::now() - started_at_);
  out_ << time.count() << " ms: " << line << std::endl;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Message MakeRequest(const std::string& method, const std::string& target,
                    const std::string& body) {
  static std::atomic<int> last = 0;
  return {method + " " + target + " HTTP/1.1",
          {{"Host", kHost},
           {"X-Request-Id", "review-" + std::to_string(++last)},
           {"X-Deadline-Ms", "8000"}},
          body};
}

std::string IdOf(const Message& request) {
  return FieldOf(request, "X-Request-Id").value_or("");
}

int RunCase(int argc, char** argv,
            const std::function<int(Record&, const std::string&)>& run) {
  if (argc != 2) return kCouldNotRun;
  Record record(argv[1]);
  int result = kCouldNotRun;
  try {
    const TemporaryFolder folder;
    record.Write(HasTrouble() ? "with the disruption" : "without it");
    result = run(record, folder.path());
  } catch (const std::exception& it) {
    record.Write(std::string("could not run: ") + it.what());
  }
  record.Write("exit status " + std::to_string(result));
  // Threads of the stand-ins still run.
  std::quick_exit(result);
}

}  // namespace ibisladder::review
