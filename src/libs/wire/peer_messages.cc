#include "libs/wire/peer_messages.h"

#include <utility>

#include "libs/wire/bounded_archive.h"

namespace ibisladder::wire {
namespace {

/// First byte of a frame: the index of its kind in Frame.
constexpr std::size_t kKindBytes = 1;
/// First byte of a credit datagram: this number and the index of its kind. A
/// heartbeat begins with its byte order, 0 or 1, and a build that knows only
/// heartbeats drops other datagrams as malformed.
constexpr std::uint8_t kFirstCreditKind = 16;

Error MakeError(ResultCode code) { return {code, "", ""}; }

const Sender& SenderOf(const Frame& frame) {
  return std::visit([](const auto& it) -> const Sender& { return it.sender; },
                    frame);
}

template <typename Message, std::size_t kKind = 0>
Expected<Message> DecodeKind(std::size_t kind, std::string_view body) {
  if constexpr (kKind < std::variant_size_v<Message>) {
    if (kind != kKind) return DecodeKind<Message, kKind + 1>(kind, body);
    std::variant_alternative_t<kKind, Message> message;
    if (!DecodePortable(body, message)) {
      return tl::unexpected(MakeError(ResultCode::kMalformedMessage));
    }
    return Message(std::move(message));
  } else {
    return tl::unexpected(MakeError(ResultCode::kUnknownMessage));
  }
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  return EncodePortable(heartbeat);
}

Expected<Heartbeat> DecodeHeartbeat(const std::string& bytes,
                                    std::uint64_t fleet) {
  if (bytes.size() > kMaxDatagramBytes) {
    return tl::unexpected(MakeError(ResultCode::kOversizedMessage));
  }
  Heartbeat heartbeat;
  if (!DecodePortable(bytes, heartbeat)) {
    return tl::unexpected(MakeError(ResultCode::kMalformedMessage));
  }
  if (heartbeat.sender.fleet != fleet) {
    return tl::unexpected(MakeError(ResultCode::kForeignFleet));
  }
  // `self` must describe the sender.
  if (heartbeat.self.instance != heartbeat.sender.instance ||
      heartbeat.self.incarnation != heartbeat.sender.incarnation) {
    return tl::unexpected(MakeError(ResultCode::kMalformedMessage));
  }
  return heartbeat;
}

bool IsCreditDatagram(const std::string& bytes) {
  return !bytes.empty() &&
         static_cast<std::uint8_t>(bytes.front()) >= kFirstCreditKind;
}

std::string EncodeCreditDatagram(const CreditDatagram& datagram) {
  std::string bytes(kKindBytes,
                    static_cast<char>(kFirstCreditKind + datagram.index()));
  std::visit([&](const auto& it) { bytes += EncodePortable(it); }, datagram);
  return bytes;
}

Expected<CreditDatagram> DecodeCreditDatagram(const std::string& bytes,
                                              std::uint64_t fleet) {
  if (bytes.size() > kMaxDatagramBytes) {
    return tl::unexpected(MakeError(ResultCode::kOversizedMessage));
  }
  if (!IsCreditDatagram(bytes)) {
    return tl::unexpected(MakeError(ResultCode::kUnknownMessage));
  }
  const std::size_t kind =
      static_cast<std::uint8_t>(bytes.front()) - kFirstCreditKind;
  const std::string_view body{bytes.data() + kKindBytes,
                              bytes.size() - kKindBytes};
  auto datagram = DecodeKind<CreditDatagram>(kind, body);
  if (datagram &&
      std::visit([](const auto& it) { return it.fleet; }, *datagram) != fleet) {
    return tl::unexpected(MakeError(ResultCode::kForeignFleet));
  }
  return datagram;
}

std::string EncodeFrame(const Frame& frame) {
  std::string bytes(kKindBytes, static_cast<char>(frame.index()));
  std::visit([&](const auto& it) { bytes += EncodePortable(it); }, frame);
  return bytes;
}

Expected<Frame> DecodeFrame(const std::string& bytes, std::uint64_t fleet) {
  if (bytes.size() > kMaxFrameBytes) {
    return tl::unexpected(MakeError(ResultCode::kOversizedMessage));
  }
  if (bytes.empty()) {
    return tl::unexpected(MakeError(ResultCode::kMalformedMessage));
  }
  const auto kind = static_cast<std::uint8_t>(bytes.front());
  const std::string_view body{bytes.data() + kKindBytes,
                              bytes.size() - kKindBytes};
  auto frame = DecodeKind<Frame>(kind, body);
  if (frame && SenderOf(*frame).fleet != fleet) {
    return tl::unexpected(MakeError(ResultCode::kForeignFleet));
  }
  return frame;
}

}  // namespace ibisladder::wire
