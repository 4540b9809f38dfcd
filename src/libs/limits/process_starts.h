#ifndef LIBS_LIMITS_PROCESS_STARTS_H_
#define LIBS_LIMITS_PROCESS_STARTS_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/limits/quota.h"

/// Processes announce their start to each other. A keeper that knows that all
/// other processes have just started, too, knows that none of them grants by
/// what an earlier process confirmed.
namespace ibisladder::limits {

/// Number of the message's format. Later formats may add fields at the end.
constexpr std::uint8_t kStartFormat = 1;

struct ProcessStart {
  std::uint8_t format = kStartFormat;
  std::string sender;
  Incarnation incarnation;
  /// Of the process, when it sends the message.
  Duration age{};
  bool is_answer = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t age_us = age.count();
    archive(format, sender, incarnation, age_us, is_answer);
    age = Duration(age_us);
  }
};

/// A message for another instance.
struct StartMessage {
  std::string instance;
  ProcessStart start;
};

/// Another listed instance.
struct PeerStart {
  /// None until it has announced its start.
  std::optional<Incarnation> incarnation;
  /// Not earlier than the process really started, as messages take time.
  TimePoint started_at;
  std::optional<TimePoint> sent_at;
  bool has_answered = false;
};

struct ProcessStarts {
  /// Of this process.
  Incarnation incarnation;
  TimePoint started_at;
  /// When it first announced its start.
  std::optional<TimePoint> announced_at;
  std::unordered_map<std::string, PeerStart> peers;
  std::uint32_t members_version = 0;
  /// Whether all others have just started; none if that is to be computed.
  std::optional<bool> have_all_started;
};

/// Returns the announcements that are due. Call about every 25 ms.
std::vector<StartMessage> TakeDueStarts(ProcessStarts& starts,
                                        const QuotaMembers& members,
                                        TimePoint now);
/// Handles an announcement or the answer to one. Returns the answer to it if
/// there is one. Ignores instances that are not listed.
std::optional<StartMessage> HandleProcessStart(ProcessStarts& starts,
                                               const QuotaMembers& members,
                                               const ProcessStart& start,
                                               TimePoint now);
/// Returns whether there are other listed instances, and each of them started
/// less than kConfirmationLife before this one, or later.
bool HaveAllStarted(ProcessStarts& starts, const QuotaMembers& members);

}  // namespace ibisladder::limits

#endif  // LIBS_LIMITS_PROCESS_STARTS_H_
