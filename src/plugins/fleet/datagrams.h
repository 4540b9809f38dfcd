#ifndef PLUGINS_FLEET_DATAGRAMS_H_
#define PLUGINS_FLEET_DATAGRAMS_H_

#include <string>

#include "libs/wire/bounded_archive.h"

/// Datagrams between instances: one byte for the kind, then the content.
namespace ibisladder::fleet {

/// First byte of a datagram. Builds of different age exchange datagrams while
/// instances are replaced: the content of a kind that a released build decodes
/// with DecodePortable must not change, and new content needs a new kind.
enum class DatagramKind : char {
  kEvidence = 'e',
  kListUpdate = 'n',
  kLimits = 'l',
  kLimitsQuestion = 'q',
  kPermitRequest = 'p',
  kPermitReply = 'r',
  kConfigurationVersion = 'v',
  kCrashes = 'c',
  kLeavingServers = 'd',
  kLostPaths = 'u',
  kFreshnessQuestion = 'f',
  kFreshnessAnswer = 'g',
  kCreditRequest = 'b',
  kCreditReply = 'a',
  kPressure = 's',
  kWatcherState = 'W',
  kFetchQuestion = 'K',
  kFetchPart = 'T',
};

template <typename T>
std::string EncodeDatagram(DatagramKind kind, const T& value) {
  return static_cast<char>(kind) + wire::EncodePortable(value);
}

}  // namespace ibisladder::fleet

#endif  // PLUGINS_FLEET_DATAGRAMS_H_
