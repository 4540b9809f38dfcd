#ifndef LIBS_CONTROLPLANE_MESSAGES_H_
#define LIBS_CONTROLPLANE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/log_event.h"
#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/callerpath/messages.h"
#include "libs/declarations/configuration.h"
#include "libs/wire/peer_messages.h"

/// Events and actions of the control plane (membership and configuration).
/// `Step(plane, event, now, random)` returns actions, which the control task
/// carries out. The caller path (libs/callerpath) handles callers' requests.
namespace ibisladder::controlplane {

/// Identifies a call to the platform or a peer, or a peer's request here.
using ExchangeId = Strong<struct ExchangeIdTag, std::uint64_t>;
/// Revision of a key in the platform's store; 0: the key does not exist.
using Revision = Strong<struct RevisionTag, std::uint64_t>;

/// An entry of the platform's instance list.
struct ListedInstance {
  InstanceId instance;
  ZoneName zone;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  bool leaving = false;
};
/// A backend server in the platform's instance list.
struct ListedServer {
  std::string service;
  std::string server;
  bool leaving = false;
};

// Events.

/// A datagram as received. The control plane decodes and checks it.
struct DatagramReceived {
  Endpoint from;
  std::string bytes;
};
/// A peer asks for this instance's configuration. `exchange` is repeated in
/// AnswerFetch; `frame.exchange` is the peer's own number, repeated in the
/// reply.
struct ConfigFetchRequested {
  ExchangeId exchange;
  wire::ConfigFetchFrame frame;
};
struct PeerReplied {
  ExchangeId exchange;
  wire::ConfigReplyFrame frame;
};
struct PeerFailed {
  ExchangeId exchange;
};
/// kDone with the value and revision, kStoreNotFound, kStoreConflict,
/// kStoreReplyInvalid, or kStoreUnavailable (a write may have taken effect).
struct StoreReplied {
  ExchangeId exchange;
  ResultCode code = ResultCode::kStoreUnavailable;
  std::string value;
  Revision revision;
};
struct ListReplied {
  bool ok = false;
  std::vector<ListedInstance> instances;
  std::vector<ListedServer> servers;
};
/// From the caller path, for peers: this instance's evidence about the health
/// of backend servers, and the servers that it saw leaving.
struct ServerUpdateReady {
  std::vector<detection::Digest> evidence;
  std::vector<BackendServerId> leaving;
};
/// The era that this instance's new tickets carry.
struct EraAdvanced {
  Era era;
};
/// An operator applies declarations, which are validated already. The operator
/// tool chooses `change_id`, so that a repeat of the same change is recognised.
/// `procedure` is repeated in AnswerApply.
struct ApplyRequested {
  std::uint64_t procedure = 0;
  std::string change_id;
  ConfigVersion based_on;
  declarations::Declarations declarations;
};
struct StopRequested {};
/// An operator drains this instance or ends the drain. It keeps running.
struct DrainChanged {
  bool drained = false;
};
/// Expected every 50 ms.
struct Tick {};

using Event = std::variant<DatagramReceived, ConfigFetchRequested, PeerReplied,
                           PeerFailed, StoreReplied, ListReplied,
                           ServerUpdateReady, EraAdvanced, ApplyRequested,
                           StopRequested, DrainChanged, Tick>;

// Actions.

struct SendDatagram {
  Endpoint to;
  std::string bytes;
};
/// Answers a ConfigFetchRequested on its connection.
struct AnswerFetch {
  ExchangeId exchange;
  wire::ConfigReplyFrame frame;
};
struct FetchFromPeer {
  ExchangeId exchange;
  Endpoint peer;
  wire::ConfigFetchFrame frame;
};
struct StoreRead {
  ExchangeId exchange;
  std::string key;
};
/// Answered when the key's revision is not `known`, or after `wait`.
struct StoreWatch {
  ExchangeId exchange;
  std::string key;
  Revision known;
  Duration wait{};
};
/// Compare-and-swap. With `expected` 0 the key must not exist.
struct StoreWrite {
  ExchangeId exchange;
  std::string key;
  Revision expected;
  std::string value;
};
struct StoreDelete {
  ExchangeId exchange;
  std::string key;
};
struct ReadList {};
/// For the caller path.
struct InstallConfiguration {
  declarations::ConfigurationPtr configuration;
};
struct ReportFleet {
  callerpath::FleetChanged fleet;
};
struct ReportServersLeaving {
  std::vector<BackendServerId> servers;
};
/// Evidence that a peer's heartbeat carried.
struct ReportEvidence {
  callerpath::PeerEvidence evidence;
};
/// kDone, kConflict (`message` names both versions), kUnavailable,
/// kWriteUnknown, kInvalidArgument (a chunk would be too large) or kInternal
/// (the stored head is malformed). Except for kDone and kWriteUnknown, the
/// configuration was not changed; chunks already written stay in the store.
/// `version` is the change's own for kDone and kWriteUnknown, otherwise the
/// current one as known here.
struct AnswerApply {
  std::uint64_t procedure = 0;
  ResultCode code = ResultCode::kInternal;
  ConfigVersion version;
  std::string message;
};
struct WriteLog {
  LogLine line;
};

using Action =
    std::variant<SendDatagram, AnswerFetch, FetchFromPeer, StoreRead,
                 StoreWatch, StoreWrite, StoreDelete, ReadList,
                 InstallConfiguration, ReportFleet, ReportServersLeaving,
                 ReportEvidence, AnswerApply, WriteLog>;
using Actions = std::vector<Action>;

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_MESSAGES_H_
