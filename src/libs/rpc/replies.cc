#include "libs/rpc/replies.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "libs/declarations/field_checks.h"
#include "libs/declarations/parse.h"

namespace ibisladder::rpc {
namespace {

constexpr std::string_view kProgramVersion = "ibisladder " IBISLADDER_VERSION;

template <typename Reply>
Reply MakeReply(Result result) {
  Reply reply;
  *reply.mutable_result() = std::move(result);
  return reply;
}

template <typename Reply>
Reply MakeReplyFrom(const controlplane::AnswerApply& answer) {
  Reply reply = MakeReply<Reply>(MakeResult(answer.code, answer.message));
  reply.set_version(answer.version.value());
  return reply;
}

/// A change id must be a name; a retry is recognised by it.
std::vector<Error> CheckChangeId(const std::string& change_id) {
  if (json::IsName(change_id)) return {};
  return {{ResultCode::kOutOfRange, "/change_id",
           "expected " + std::string(json::kNameRule)}};
}

std::vector<Error> CheckDrainServer(const DrainServerRequest& request) {
  std::vector<Error> errors = CheckChangeId(request.change_id());
  const auto check = [&](const char* pointer, const std::string& name) {
    if (json::IsName(name)) return;
    errors.push_back({ResultCode::kOutOfRange, pointer,
                      "expected " + std::string(json::kNameRule)});
  };
  check("/service", request.service());
  check("/server", request.server());
  return errors;
}

/// Indexes of a backend server in the declarations.
struct ServerPosition {
  std::size_t service = 0;
  std::size_t server = 0;
};

std::optional<ServerPosition> FindServer(
    const declarations::Declarations& declarations, const std::string& service,
    const std::string& server) {
  for (std::size_t i = 0; i < declarations.services.size(); ++i) {
    const auto& candidate = declarations.services[i];
    if (candidate.name != service) continue;
    for (std::size_t n = 0; n < candidate.servers.size(); ++n) {
      if (candidate.servers[n].name == server) return ServerPosition{i, n};
    }
  }
  return std::nullopt;
}

PeerStatus MakePeerStatus(const controlplane::PeerStatus& peer) {
  PeerStatus out;
  out.set_instance(peer.instance.value());
  out.set_zone(peer.zone.value());
  out.set_caller_endpoint(FormatEndpoint(peer.caller_endpoint));
  out.set_state(peer.state);
  out.set_version(peer.version.value());
  out.set_heard_ms_ago(static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, ToMillis(peer.heard_ago))));
  return out;
}

ServerStatus MakeServerStatus(const callerpath::ServerStatus& server) {
  ServerStatus out;
  out.set_service(server.service);
  out.set_server(server.server);
  out.set_zone(server.zone.value());
  out.set_state(server.state);
  out.set_reason(server.reason);
  out.set_in_flight(server.in_flight);
  out.set_score(server.score);
  return out;
}

}  // namespace

Result MakeResult(ResultCode code, std::string_view message) {
  // The general text for kDone is about a caller's request.
  if (code == ResultCode::kDone && message.empty()) message = "done";
  Result result;
  result.set_code(static_cast<std::uint32_t>(code));
  result.set_message(std::string(message.empty() ? Describe(code) : message));
  return result;
}

Result MakeResult(const Error& error) {
  std::string message = error.message;
  if (!error.place.empty()) message = error.place + ": " + message;
  return MakeResult(error.code, message);
}

Result MakeResult(const std::vector<Error>& errors) {
  if (errors.empty()) return MakeResult(ResultCode::kDone, "valid");
  Result result = MakeResult(ResultCode::kInvalidArgument);
  for (const auto& it : errors) {
    auto* error = result.add_errors();
    error->set_code(static_cast<std::uint32_t>(it.code));
    error->set_pointer(it.place);
    error->set_message(it.message);
  }
  return result;
}

ValidateReply HandleValidate(const ValidateRequest& request) {
  const auto parsed =
      declarations::ParseDeclarations(request.declarations_json());
  return MakeReply<ValidateReply>(
      MakeResult(parsed ? std::vector<Error>() : parsed.error()));
}

ShowReply HandleShow(const declarations::Configuration* configuration) {
  if (configuration == nullptr) {
    return MakeReply<ShowReply>(MakeResult(ResultCode::kNotReady));
  }
  ShowReply reply = MakeReply<ShowReply>(MakeResult(ResultCode::kDone));
  reply.set_version(configuration->version.value());
  reply.set_declarations_json(
      declarations::FormatDeclarations(configuration->declarations));
  return reply;
}

VersionReply HandleVersion() {
  VersionReply reply = MakeReply<VersionReply>(MakeResult(ResultCode::kDone));
  reply.set_program(std::string(kProgramVersion));
  return reply;
}

StatusReply HandleStatus(const StatusSource& source) {
  StatusReply reply = MakeReply<StatusReply>(MakeResult(ResultCode::kDone));
  reply.set_instance(source.instance.value());
  reply.set_zone(source.zone.value());
  reply.set_version(source.control.version.value());
  reply.set_store_up(source.control.store_up);
  reply.set_stopping(source.control.stopping || source.path.stopping);
  reply.set_records(source.path.records);
  reply.set_in_flight(source.path.in_flight);
  for (const auto& it : source.control.peers) {
    *reply.add_peers() = MakePeerStatus(it);
  }
  for (const auto& it : source.path.servers) {
    *reply.add_servers() = MakeServerStatus(it);
  }
  return reply;
}

ApplyResult HandleApply(const ApplyRequest& request, std::uint64_t procedure) {
  std::vector<Error> errors = CheckChangeId(request.change_id());
  auto parsed = declarations::ParseDeclarations(request.declarations_json());
  if (!parsed) {
    errors.insert(errors.end(), parsed.error().begin(), parsed.error().end());
  }
  if (!errors.empty()) return MakeReply<ApplyReply>(MakeResult(errors));
  return controlplane::ApplyRequested{procedure, request.change_id(),
                                      ConfigVersion(request.based_on()),
                                      std::move(*parsed)};
}

ApplyReply MakeApplyReply(const controlplane::AnswerApply& answer) {
  return MakeReplyFrom<ApplyReply>(answer);
}

DrainServerResult HandleDrainServer(
    const DrainServerRequest& request,
    const declarations::Configuration* configuration, std::uint64_t procedure) {
  if (const auto errors = CheckDrainServer(request); !errors.empty()) {
    return MakeReply<DrainServerReply>(MakeResult(errors));
  }
  if (configuration == nullptr) {
    return MakeReply<DrainServerReply>(MakeResult(ResultCode::kNotReady));
  }
  const auto& in_force = configuration->declarations;
  const auto position =
      FindServer(in_force, request.service(), request.server());
  if (!position) {
    return MakeReply<DrainServerReply>(MakeResult(
        ResultCode::kNotFound, "no backend server is declared as " +
                                   request.service() + "/" + request.server()));
  }
  const auto& [service, server] = *position;
  if (in_force.services[service].servers[server].drained == request.drained()) {
    DrainServerReply reply =
        MakeReply<DrainServerReply>(MakeResult(ResultCode::kDone));
    reply.set_version(configuration->version.value());
    return reply;
  }
  controlplane::ApplyRequested asked{procedure, request.change_id(),
                                     configuration->version, in_force};
  asked.declarations.services[service].servers[server].drained =
      request.drained();
  return asked;
}

DrainServerReply MakeDrainServerReply(const controlplane::AnswerApply& answer) {
  return MakeReplyFrom<DrainServerReply>(answer);
}

}  // namespace ibisladder::rpc
