#ifndef LIBS_WIRE_PEER_MESSAGES_H_
#define LIBS_WIRE_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/callerpath/messages.h"
#include "libs/detection/detector.h"
#include "libs/limits/quota.h"

/// Messages between instances. Each is one datagram or one length-prefixed TCP
/// frame, encoded with cereal's portable binary archive.
namespace ibisladder::wire {

/// Largest datagram, bytes; fits one unfragmented packet.
constexpr std::size_t kMaxDatagramBytes = 1400;
/// Largest TCP frame, bytes; fits a relayed body of 7 MiB, the largest that
/// declarations allow, and the frame's other fields.
constexpr std::size_t kMaxFrameBytes = 8U << 20U;

/// Sender of a message.
struct Sender {
  /// Hash of the fleet's name; foreign messages are dropped.
  std::uint64_t fleet = 0;
  InstanceId instance;
  Incarnation incarnation;
  /// Increases with each datagram of the incarnation. Frames have counters of
  /// their own.
  std::uint64_t sequence = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fleet, instance, incarnation, sequence);
  }
};

/// State of a member as seen by the sender of an update.
enum class MemberState : std::uint8_t {
  kUp,               ///< An instance heard from it.
  kSuspect,          ///< Silent; marked down soon unless a peer refutes it.
  kDown,             ///< Silent, and the suspicion was not refuted.
  kReceivesNothing,  ///< Says that it receives no heartbeats.
};

/// A peer's update about a member, which may be itself or a third one.
struct MemberUpdate {
  InstanceId instance;
  Incarnation incarnation;
  Era era;
  ZoneName zone;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  bool leaving = false;
  /// Milliseconds since the sender last knew the member alive, by the sender's
  /// clock.
  std::uint32_t heard_ms_ago = 0;
  /// The member's own sequence number that the state refers to; for kDown, an
  /// estimate of the highest that it may have used. An update with a higher
  /// number supersedes this one.
  std::uint64_t as_of = 0;
  MemberState state = MemberState::kUp;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(instance, incarnation, era, zone, caller_endpoint, peer_endpoint,
            leaving, heard_ms_ago, as_of, state);
  }
};

/// The era of a member. Shorter than a MemberUpdate, because eras advance every
/// few seconds.
struct EraUpdate {
  InstanceId instance;
  /// Low half of the incarnation that the era belongs to.
  std::uint32_t incarnation_low = 0;
  Era era;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(instance, incarnation_low, era);
  }
};

/// A backend server that leaves, and how long ago an instance saw it leaving
/// (in the platform's list or by the server's answer that it drains). The age
/// lets the entry expire everywhere at about the same time, however often it is
/// passed on.
struct LeavingServer {
  BackendServerId server;
  std::uint32_t seen_ms_ago = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server, seen_ms_ago);
  }
};

/// A heartbeat with piggybacked updates.
struct Heartbeat {
  Sender sender;
  /// The sender itself.
  MemberUpdate self;
  ConfigVersion version;
  /// The receiver, if the sender recently heard from it, and the first few
  /// other such peers by id. Both ends detect a one-way link by it.
  std::vector<InstanceId> heard;
  std::vector<MemberUpdate> members;
  /// The sender's own evidence about the health of backend servers.
  std::vector<detection::Digest> evidence;
  std::vector<LeavingServer> leaving_servers;
  std::vector<EraUpdate> eras;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, self, version, heard, members, evidence, leaving_servers,
            eras);
  }
};

/// A question to a keeper of an organisation's quota.
struct CreditRequestDatagram {
  std::uint64_t fleet = 0;
  limits::CreditRequest request;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fleet, request);
  }
};
/// The answer to the instance that asked.
struct CreditReplyDatagram {
  std::uint64_t fleet = 0;
  limits::CreditReply reply;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fleet, reply);
  }
};
using CreditDatagram = std::variant<CreditRequestDatagram, CreditReplyDatagram>;

/// Relays a call to its home, the instance that the ticket in its request id
/// names; answered by RelayAnswerFrame on the same connection. `exchange` is
/// the asking instance's number for a frame, which the answer repeats.
struct RelayCallFrame {
  Sender sender;
  std::uint64_t exchange = 0;
  callerpath::CallRequest request;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, exchange, request);
  }
};
/// The caller of a relayed call disconnected.
struct RelayCancelFrame {
  Sender sender;
  std::uint64_t exchange = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, exchange);
  }
};
/// Asks the home of a request id for the request's outcome; answered by
/// RelayAnswerFrame. `settle` also ensures that an id which has not been
/// dispatched never will be.
struct RelayOutcomeFrame {
  Sender sender;
  std::uint64_t exchange = 0;
  std::string request_id;
  bool settle = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, exchange, request_id, settle);
  }
};
struct RelayAnswerFrame {
  Sender sender;
  std::uint64_t exchange = 0;
  callerpath::CallerAnswer answer;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, exchange, answer);
  }
};
/// Asks a peer for the head of its installed version, or for chunks by digest.
struct ConfigFetchFrame {
  Sender sender;
  std::uint64_t exchange = 0;
  /// Digests of the requested chunks; empty: the head is requested.
  std::vector<std::uint64_t> chunks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, exchange, chunks);
  }
};
struct ConfigChunk {
  std::uint64_t digest = 0;
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(digest, bytes);
  }
};
struct ConfigReplyFrame {
  Sender sender;
  std::uint64_t exchange = 0;
  ConfigVersion version;
  /// The head as stored; empty if not requested, if the peer has none, or if
  /// the peer's budget of bytes is used up.
  std::string head;
  std::vector<ConfigChunk> chunks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, exchange, version, head, chunks);
  }
};

using Frame =
    std::variant<RelayCallFrame, RelayCancelFrame, RelayOutcomeFrame,
                 RelayAnswerFrame, ConfigFetchFrame, ConfigReplyFrame>;

std::string EncodeHeartbeat(const Heartbeat& heartbeat);
/// kOversizedMessage, kMalformedMessage, kForeignFleet.
Expected<Heartbeat> DecodeHeartbeat(const std::string& bytes,
                                    std::uint64_t fleet);

/// Whether the datagram is of a kind that DecodeCreditDatagram decodes.
bool IsCreditDatagram(const std::string& bytes);
std::string EncodeCreditDatagram(const CreditDatagram& datagram);
/// kOversizedMessage, kMalformedMessage, kUnknownMessage, kForeignFleet.
Expected<CreditDatagram> DecodeCreditDatagram(const std::string& bytes,
                                              std::uint64_t fleet);

/// Encodes a frame without the length prefix, which the transport adds.
std::string EncodeFrame(const Frame& frame);
/// kOversizedMessage, kMalformedMessage, kUnknownMessage, kForeignFleet.
Expected<Frame> DecodeFrame(const std::string& bytes, std::uint64_t fleet);

}  // namespace ibisladder::wire

#endif  // LIBS_WIRE_PEER_MESSAGES_H_
