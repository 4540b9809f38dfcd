#ifndef PLUGINS_FLEET_FRESHNESS_CODEC_H_
#define PLUGINS_FLEET_FRESHNESS_CODEC_H_

#include <string_view>

#include "libs/gateway/configuration_freshness.h"
#include "libs/wire/bounded_archive.h"

/// Reads the answers about the freshness of the configuration.
namespace ibisladder::fleet {
namespace Internal {

/// Answer of a build that does not tell the highest version that it knows of.
struct AnswerWithoutHighest {
  gateway::FreshnessAnswer& answer;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(answer.format, answer.number, answer.version, answer.age_us);
  }
};

}  // namespace Internal

/// Returns false if the bytes are no answer of any build.
inline bool DecodeFreshnessAnswer(std::string_view bytes,
                                  gateway::FreshnessAnswer& answer) {
  if (wire::DecodeGrowing(bytes, answer)) return true;
  answer = {};
  Internal::AnswerWithoutHighest earlier{answer};
  return wire::DecodeGrowing(bytes, earlier);
}

}  // namespace ibisladder::fleet

#endif  // PLUGINS_FLEET_FRESHNESS_CODEC_H_
