#include "plugins/control/platform_client.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace ibisladder::control {
namespace {

using controlplane::ListedInstance;
using controlplane::ListedServer;
using controlplane::ListReplied;
using controlplane::Revision;
using controlplane::StoreReplied;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr std::size_t kMaxListBytes = 16U << 20U;
/// Calls beyond this limit fail unsent. The control plane may read 16 chunks
/// and write 16 chunks at once, besides its watch, the list and single keys.
constexpr std::size_t kMaxConnections = 64;

std::string Quoted(Revision revision) {
  return "\"" + std::to_string(revision.value()) + "\"";
}

std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

std::optional<Revision> ReadRevision(const net::Headers& headers) {
  const std::string* tag = net::FindHeader(headers, "ETag");
  if (tag == nullptr || tag->size() < 3) return std::nullopt;
  const std::string_view quoted = *tag;
  const auto n = ReadNumber(quoted.substr(1, quoted.size() - 2));
  if (!n) return std::nullopt;
  return Revision(*n);
}

std::optional<Endpoint> ReadEndpoint(const std::string& text) {
  constexpr std::uint64_t kMaxPort = 65535;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  const std::string_view digits = text;
  const auto port = ReadNumber(digits.substr(colon + 1));
  if (!port || *port == 0 || *port > kMaxPort) return std::nullopt;
  std::string address = text.substr(0, colon);
  if (address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  return Endpoint{address, static_cast<std::uint16_t>(*port)};
}

std::optional<ListedInstance> ReadInstance(const json& it) {
  if (!it.is_object() || !it.value("id", json()).is_number_unsigned()) {
    return std::nullopt;
  }
  const auto caller = ReadEndpoint(it.value("caller", std::string()));
  const auto peer = ReadEndpoint(it.value("peer", std::string()));
  if (!caller || !peer) return std::nullopt;
  ListedInstance result;
  result.instance = InstanceId(it["id"].get<std::uint32_t>());
  result.zone = ZoneName(it.value("zone", std::string()));
  result.caller_endpoint = *caller;
  result.peer_endpoint = *peer;
  result.leaving = it.value("state", std::string()) == "leaving";
  return result;
}

std::optional<ListedServer> ReadServer(const json& it) {
  if (!it.is_object()) return std::nullopt;
  ListedServer result;
  result.service = it.value("service", std::string());
  result.server = it.value("server", std::string());
  result.leaving = it.value("state", std::string()) == "leaving";
  if (result.service.empty() || result.server.empty()) return std::nullopt;
  return result;
}

}  // namespace

ListReplied ReadInstanceList(const std::string& text) {
  ListReplied result;
  const json list = json::parse(text, nullptr, false);
  if (!list.is_object() || !list.value("instances", json()).is_array()) {
    return result;
  }
  try {
    for (const auto& it : list["instances"]) {
      if (auto instance = ReadInstance(it)) {
        result.instances.push_back(std::move(*instance));
      }
    }
    for (const auto& it : list.value("servers", json::array())) {
      if (auto server = ReadServer(it)) {
        result.servers.push_back(std::move(*server));
      }
    }
  } catch (const json::exception&) {
    // A field has the wrong type: reject the whole list.
    return {};
  }
  result.ok = true;
  return result;
}

StoreReplied ReadStoreAnswer(controlplane::ExchangeId exchange,
                             const net::HttpAnswer& answer) {
  StoreReplied result;
  result.exchange = exchange;
  const auto revision = ReadRevision(answer.headers);
  switch (answer.status) {
    case kOk:
      result.code =
          revision ? ResultCode::kDone : ResultCode::kStoreReplyInvalid;
      result.value = answer.body;
      result.revision = revision.value_or(Revision());
      break;
    case kNoContent:
      result.code = ResultCode::kDone;
      break;
    case kNotModified:
      result.code = ResultCode::kDone;
      result.revision = revision.value_or(Revision());
      break;
    case kNotFound:
      result.code = ResultCode::kStoreNotFound;
      break;
    case kPreconditionFailed:
      result.code = ResultCode::kStoreConflict;
      break;
    default:
      result.code = ResultCode::kStoreUnavailable;
  }
  return result;
}

PlatformClient::PlatformClient(net::EventLoop& loop, Endpoint platform,
                               Duration timeout)
    : platform_(std::move(platform)), timeout_(timeout), http_(loop) {
  http_.signal_answer().connect(
      sigc::mem_fun(*this, &PlatformClient::OnAnswer));
  http_.signal_error().connect(sigc::mem_fun(*this, &PlatformClient::OnError));
}

void PlatformClient::Send(const controlplane::StoreRead& action) {
  http_.Send(MakeCall({false, action.exchange}, "GET", "/kv/" + action.key));
}

void PlatformClient::Send(const controlplane::StoreWatch& action) {
  auto call = MakeCall({false, action.exchange}, "GET",
                       "/kv/" + action.key +
                           "?known=" + std::to_string(action.known.value()) +
                           "&wait_ms=" + std::to_string(ToMillis(action.wait)));
  call.timeout = action.wait + timeout_;
  http_.Send(call);
}

void PlatformClient::Send(const controlplane::StoreWrite& action) {
  auto call = MakeCall({false, action.exchange}, "PUT", "/kv/" + action.key);
  if (action.expected == Revision()) {
    call.headers.emplace_back("If-None-Match", "*");
  } else {
    call.headers.emplace_back("If-Match", Quoted(action.expected));
  }
  call.body = action.value;
  http_.Send(call);
}

void PlatformClient::Send(const controlplane::StoreDelete& action) {
  http_.Send(MakeCall({false, action.exchange}, "DELETE", "/kv/" + action.key));
}

void PlatformClient::Send(const controlplane::ReadList& /*action*/) {
  http_.Send(MakeCall({true, {}}, "GET", "/instances"));
}

net::HttpCall PlatformClient::MakeCall(const OpenCall& open, std::string method,
                                       std::string target) {
  net::HttpCall call;
  call.id = ++last_id_;
  open_[call.id] = open;
  call.endpoint = platform_;
  call.method = std::move(method);
  call.target = std::move(target);
  call.timeout = timeout_;
  call.max_answer_bytes = kMaxListBytes;
  call.max_connections = kMaxConnections;
  return call;
}

void PlatformClient::OnAnswer(net::HttpAnswer& answer) {
  const auto it = open_.find(answer.id);
  if (it == open_.end()) return;
  const OpenCall open = it->second;
  open_.erase(it);
  if (open.is_list) {
    list_.emit(answer.status == kOk ? ReadInstanceList(answer.body)
                                    : ListReplied{});
  } else {
    store_.emit(ReadStoreAnswer(open.exchange, answer));
  }
}

void PlatformClient::OnError(const net::HttpError& error) {
  const auto it = open_.find(error.id);
  if (it == open_.end()) return;
  const OpenCall open = it->second;
  open_.erase(it);
  if (open.is_list) {
    list_.emit(ListReplied{});
  } else {
    StoreReplied reply;
    reply.exchange = open.exchange;
    store_.emit(reply);
  }
}

}  // namespace ibisladder::control
