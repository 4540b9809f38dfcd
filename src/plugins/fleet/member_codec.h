#ifndef PLUGINS_FLEET_MEMBER_CODEC_H_
#define PLUGINS_FLEET_MEMBER_CODEC_H_

#include <optional>
#include <string_view>

#include "libs/gateway/directory.h"
#include "libs/wire/bounded_archive.h"

/// Reads the registrations of instances.
namespace ibisladder::fleet {
namespace Internal {

/// Registration of an instance whose program does not know its capacity yet.
struct MemberWithoutCapacity {
  gateway::Member& member;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(member.name, member.incarnation, member.zone,
            member.caller_endpoint, member.peer_endpoint,
            member.relay_endpoint);
  }
};

}  // namespace Internal

/// Returns nullopt if the bytes are no registration.
inline std::optional<gateway::Member> DecodeMember(std::string_view bytes) {
  gateway::Member member;
  if (wire::DecodePortable(bytes, member)) return member;
  member = {};
  Internal::MemberWithoutCapacity earlier{member};
  if (wire::DecodePortable(bytes, earlier)) return member;
  return std::nullopt;
}

}  // namespace ibisladder::fleet

#endif  // PLUGINS_FLEET_MEMBER_CODEC_H_
