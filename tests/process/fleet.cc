#include "tests/process/fleet.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "tests/process/sync_http.h"

namespace ibisladder::process {
namespace {

using nlohmann::json;

constexpr int kCallerOffset = 10;
constexpr int kPeerOffset = 30;
constexpr int kOperatorOffset = 50;
constexpr int kServerOffset = 70;
constexpr int kLinkOffset = 80;
constexpr int kLinkControlOffset = 81;
constexpr int kLinkSenderOffset = 82;
constexpr int kOk = 200;
const char* const kToken = "process-test-token";

std::string ZoneOf(int number) { return "zone-" + std::to_string(number % 3); }

std::optional<net::HttpAnswer> Put(const Endpoint& endpoint,
                                   const std::string& target,
                                   const json& body) {
  net::HttpCall call;
  call.endpoint = endpoint;
  call.method = "PUT";
  call.target = target;
  call.body = body.dump();
  return Exchange(call);
}

}  // namespace

Fleet::Fleet(const FleetOptions& options) : options_(options) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
}

void Fleet::Start() {
  StartPlatform();
  StartBackend();
  if (options_.linked_server) StartLink();
  std::vector<int> numbers;
  for (int i = 1; i <= options_.instances; ++i) numbers.push_back(i);
  const bool listed = Await(kLongTimeout, [&] {
    return Put(PlatformEndpoint(), "/standin/faults", json::object())
        .has_value();
  });
  if (!listed) throw std::runtime_error("platform does not answer\n" + Logs());
  SetInstanceList(numbers);
  for (const int it : numbers) StartInstance(it);
  const bool applied = Await(kLongTimeout, [&] {
    const json reply = Apply(1, Declarations(), 0, "start");
    return reply.is_object() && reply["result"].value("code", 0) == 1000;
  });
  if (!applied) throw std::runtime_error("declarations not applied\n" + Logs());
  for (const int it : numbers) {
    if (!Await(kLongTimeout, [&] { return IsReady(it); })) {
      throw std::runtime_error("an instance did not become ready\n" + Logs());
    }
  }
}

void Fleet::StartPlatform() {
  platform_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          Program("standin_platform"),
          "--listen=" + FormatEndpoint(PlatformEndpoint())},
      File("platform.out"), File("platform.log"));
}

void Fleet::StartInstance(int number) {
  json settings = {
      {"fleet", "process-test"},
      {"instance", number},
      {"zone", ZoneOf(number)},
      {"caller_endpoint", FormatEndpoint(CallerEndpoint(number))},
      {"peer_endpoint", FormatEndpoint(PeerEndpoint(number))},
      {"operator_endpoint", FormatEndpoint(OperatorEndpoint(number))},
      {"operator_token", kToken},
      {"platform_endpoint", FormatEndpoint(PlatformEndpoint())},
      {"seeds",
       {FormatEndpoint(PeerEndpoint(1)), FormatEndpoint(PeerEndpoint(2))}}};
  settings.update(options_.settings);
  const std::string name = "instance-" + std::to_string(number);
  std::ofstream(File(name + ".json")) << settings;
  instances_.erase(number);
  instances_.emplace(
      number,
      ChildProcess({Program("ibisladderd"), "--settings", File(name + ".json")},
                   File(name + ".out"), File(name + ".log")));
}

void Fleet::StartBackend() {
  std::string servers;
  for (int i = 1; i <= options_.servers; ++i) {
    servers += (i > 1 ? "," : "") + ("s" + std::to_string(i)) + "@" +
               FormatEndpoint(ServerEndpoint(i));
  }
  backend_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          Program("standin_backend"), "--servers=" + servers,
          "--service_ms=" + std::to_string(options_.service_ms),
          "--log=" + File("executions")},
      File("backend.out"), File("backend.log"));
}

void Fleet::StartLink() {
  link_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          Program("standin_relay"),
          "--listen=" + FormatEndpoint(DeclaredEndpoint(1)),
          "--target=" + FormatEndpoint(ServerEndpoint(1)),
          "--control=" + FormatEndpoint(At(kLinkControlOffset)),
          "--first_udp=" + FormatEndpoint(At(kLinkSenderOffset))},
      File("link.out"), File("link.log"));
}

Endpoint Fleet::CallerEndpoint(int number) const {
  return At(kCallerOffset + number);
}

Endpoint Fleet::PeerEndpoint(int number) const {
  return At(kPeerOffset + number);
}

Endpoint Fleet::OperatorEndpoint(int number) const {
  return At(kOperatorOffset + number);
}

Endpoint Fleet::PlatformEndpoint() const { return At(0); }

Endpoint Fleet::ServerEndpoint(int number) const {
  return At(kServerOffset + number);
}

Endpoint Fleet::DeclaredEndpoint(int number) const {
  const bool is_linked = options_.linked_server && number == 1;
  return is_linked ? At(kLinkOffset) : ServerEndpoint(number);
}

void Fleet::SetInstanceList(
    const std::vector<int>& instances, const std::vector<int>& leaving,
    const std::vector<std::string>& leaving_servers) const {
  json list = {{"instances", json::array()}, {"servers", json::array()}};
  const auto add = [&](int number, const char* state) {
    list["instances"].push_back(
        {{"id", number},
         {"zone", ZoneOf(number)},
         {"caller", FormatEndpoint(CallerEndpoint(number))},
         {"peer", FormatEndpoint(PeerEndpoint(number))},
         {"state", state}});
  };
  for (const int it : instances) add(it, "live");
  for (const int it : leaving) add(it, "leaving");
  for (const auto& it : leaving_servers) {
    list["servers"].push_back(
        {{"service", "shop"}, {"server", it}, {"state", "leaving"}});
  }
  Put(PlatformEndpoint(), "/standin/instances", list);
}

void Fleet::SetPlatformFaults(const json& faults) const {
  Put(PlatformEndpoint(), "/standin/faults", faults);
}

void Fleet::SetServerMode(int number, const json& mode) const {
  Put(ServerEndpoint(number), "/standin/mode", mode);
}

void Fleet::SetLink(const json& link) const {
  Put(At(kLinkControlOffset), "/standin/link", link);
}

std::string Fleet::ServerState(int instance, const std::string& server) const {
  const json status = Call(instance, "Status", json::object());
  if (!status.is_object()) return "";
  for (const auto& it : status["servers"]) {
    if (it["server"] == server) return it["state"];
  }
  return "";
}

json Fleet::Call(int instance, const std::string& procedure,
                 const json& request) const {
  net::HttpCall call;
  call.endpoint = OperatorEndpoint(instance);
  call.method = "POST";
  call.target = "/ibisladder.Operators/" + procedure;
  call.headers = {{"Authorization", std::string("Bearer ") + kToken},
                  {"Content-Type", "application/json"}};
  call.body = request.dump();
  call.timeout = kLongTimeout;
  const auto answer = Exchange(call);
  return answer ? json::parse(answer->body, nullptr, false) : json();
}

json Fleet::Declarations() const {
  json service = {{"name", "shop"}, {"servers", json::array()}};
  for (int i = 1; i <= options_.servers; ++i) {
    service["servers"].push_back(
        {{"name", "s" + std::to_string(i)},
         {"endpoint", FormatEndpoint(DeclaredEndpoint(i))},
         {"zone", ZoneOf(i)}});
  }
  return {
      {"services", {service}},
      {"routes",
       {{{"prefix", "/browse"}, {"service", "shop"}, {"repeat", "idempotent"}},
        {{"prefix", "/charge"},
         {"service", "shop"},
         {"repeat", "at-most-once"}}}},
      {"keep_addresses_ms", 2000}};
}

json Fleet::Apply(int instance, const json& declarations,
                  std::uint64_t based_on, const std::string& change_id) const {
  return Call(instance, "Apply",
              {{"declarations_json", declarations.dump()},
               {"based_on", based_on},
               {"change_id", change_id}});
}

bool Fleet::IsReady(int instance) const {
  net::HttpCall call;
  call.endpoint = OperatorEndpoint(instance);
  call.target = "/readyz";
  const auto answer = Exchange(call);
  return answer && answer->status == kOk;
}

std::uint64_t Fleet::VersionOf(int instance) const {
  const json reply = Call(instance, "Status", json::object());
  if (!reply.is_object() || !reply.contains("version")) return 0;
  const json& version = reply["version"];
  // Protobuf's JSON format writes 64-bit integers as strings.
  if (version.is_number()) return version.get<std::uint64_t>();
  return std::strtoull(version.get<std::string>().c_str(), nullptr, 10);
}

CallerRun Fleet::StartCaller(const std::vector<int>& entries,
                             const std::vector<std::string>& flags) {
  const std::string name = "caller-" + std::to_string(++runs_);
  std::string list;
  for (const int it : entries) {
    list += (list.empty() ? "" : ",") + FormatEndpoint(CallerEndpoint(it));
  }
  std::vector<std::string> command = {Program("standin_caller"),
                                      "--entry=" + list, "--prefix=" + name,
                                      "--record=" + File(name + ".record")};
  command.insert(command.end(), flags.begin(), flags.end());
  return {ChildProcess(command, File(name + ".out"), File(name + ".log")),
          File(name + ".record"), File(name + ".out")};
}

std::vector<CallRecord> Fleet::Finish(CallerRun& run,
                                      std::chrono::milliseconds timeout) const {
  if (!run.process.Wait(timeout)) {
    throw std::runtime_error("the stand-in caller did not finish in time\n" +
                             Logs());
  }
  std::vector<CallRecord> result;
  std::istringstream stream(ReadFile(run.record_file));
  std::string line;
  while (std::getline(stream, line)) {
    const json it = json::parse(line);
    result.push_back(
        {it["id"], it["outcome"], it["code"], it["tries"], it["whole"]});
  }
  return result;
}

std::map<std::string, int> Fleet::Executions() const {
  std::map<std::string, int> result;
  std::istringstream stream(ReadFile(File("executions")));
  std::string server;
  std::string id;
  std::string path;
  while (stream >> server >> id >> path) ++result[id];
  return result;
}

int Fleet::ExecutionsOf(int server) const {
  const std::string name = "s" + std::to_string(server);
  int n = 0;
  std::istringstream stream(ReadFile(File("executions")));
  std::string line;
  while (std::getline(stream, line)) {
    if (line.compare(0, name.size() + 1, name + " ") == 0) ++n;
  }
  return n;
}

std::string Fleet::Logs() const {
  std::ostringstream buf;
  for (const auto& it : std::filesystem::directory_iterator(directory_)) {
    if (it.path().extension() != ".log") continue;
    const std::string text = ReadFile(it.path().string());
    constexpr std::size_t kTail = 2000;
    buf << "--- " << it.path().filename() << "\n"
        << (text.size() > kTail ? text.substr(text.size() - kTail) : text);
  }
  return buf.str();
}

Endpoint Fleet::At(int offset) const {
  return {"127.0.0.1", ports_.At(offset)};
}

std::string Fleet::File(const std::string& name) const {
  return directory_ + "/" + name;
}

std::string Fleet::Program(const std::string& name) const {
  return std::string(IBIS_BIN_DIR) + "/" + name;
}

std::string FindAtMostOnceViolations(
    const std::vector<CallRecord>& records,
    const std::map<std::string, int>& executions) {
  std::ostringstream buf;
  for (const auto& [id, n] : executions) {
    // Request ids without a ticket belong to idempotent calls.
    if (id.compare(0, 3, "t1.") == 0 && n > 1) {
      buf << id << " ran " << n << " times\n";
    }
  }
  for (const auto& it : records) {
    const auto found = executions.find(it.id);
    const bool ran = found != executions.end() && found->second > 0;
    if (it.outcome == "not-run" && ran) buf << it.id << " not-run, but ran\n";
    if (it.outcome == "done" && !ran && !it.id.empty()) {
      buf << it.id << " done, but never ran\n";
    }
    if (!it.whole) buf << it.id << " got a wrong or damaged answer\n";
  }
  return buf.str();
}

}  // namespace ibisladder::process
