#include "libs/wire/peer_messages.h"

#include <utility>

#include "libs/wire/bounded_archive.h"

namespace ibisladder::wire {
namespace {

/// First byte of a frame: the index of its kind in Frame.
constexpr std::size_t kKindBytes = 1;

Error MakeError(ResultCode code) { return {code, "", ""}; }

const Sender& SenderOf(const Frame& frame) {
  return std::visit([](const auto& it) -> const Sender& { return it.sender; },
                    frame);
}

template <std::size_t kKind = 0>
Expected<Frame> DecodeKind(std::size_t kind, std::string_view body) {
  if constexpr (kKind < std::variant_size_v<Frame>) {
    if (kind != kKind) return DecodeKind<kKind + 1>(kind, body);
    std::variant_alternative_t<kKind, Frame> frame;
    if (!DecodePortable(body, frame)) {
      return tl::unexpected(MakeError(ResultCode::kMalformedMessage));
    }
    return Frame(std::move(frame));
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
  auto frame = DecodeKind(kind, body);
  if (frame && SenderOf(*frame).fleet != fleet) {
    return tl::unexpected(MakeError(ResultCode::kForeignFleet));
  }
  return frame;
}

}  // namespace ibisladder::wire
