#include "libs/gateway/configuration_freshness.h"

#include <algorithm>
#include <iterator>

namespace ibisladder::gateway {
namespace {

// Parts of the revocation time, in percent.

/// The rest covers the second for which a store that drops its history may hide
/// changes from watches.
constexpr int kAcceptedPercent = 80;
/// An instance that loses the store must accept keys for 60% of the revocation
/// time, so that `verified_at` may be at most 20% old. It is older by the time
/// between two questions and twice the watchers' wait: 16% with messages that
/// take no time.
constexpr int kQuestionPercent = 6;
constexpr int kWatcherWaitPercent = 5;
/// From this age on, a watcher asks other instances, too.
constexpr int kWatcherAgePercent = 13;
/// Age after which the instance verifies the version by itself, and the least
/// time between two such calls. Up to as much again as `kSpreadPercent` is
/// added at random, so that not all instances of a zone call at once.
constexpr int kCheckPercent = 20;
constexpr int kSpreadPercent = 4;

constexpr Duration kQuestionLifetime = Seconds(2);
/// Older answers are no answers of a working instance.
constexpr Duration kMaxAge = Seconds(3600);

Duration PartOf(const ConfigurationFreshness& freshness, int percent) {
  constexpr int kWhole = 100;
  return freshness.revocation_time * percent / kWhole;
}

Duration NextCheckAfter(const ConfigurationFreshness& freshness,
                        Random& random) {
  const Duration spread = PartOf(freshness, kSpreadPercent);
  const auto part = UniformBelow(
      random,
      static_cast<std::uint64_t>(std::max<std::int64_t>(spread.count(), 1)));
  return PartOf(freshness, kCheckPercent) +
         Duration(static_cast<std::int64_t>(part));
}

void EraseOldQuestions(ConfigurationFreshness& freshness, TimePoint now) {
  std::erase_if(freshness.questions, [now](const auto& it) {
    return now - it.second.asked_at > kQuestionLifetime;
  });
}

}  // namespace

void PassTime(ConfigurationFreshness& freshness, TimePoint now) {
  if (now < freshness.latest) {
    freshness.verified_at.reset();
    freshness.questions.clear();
    freshness.next_question_at = now;
    freshness.next_check_at = now;
  }
  freshness.latest = now;
}

void RecordVerified(ConfigurationFreshness& freshness, TimePoint at,
                    Random& random) {
  if (freshness.verified_at && at <= *freshness.verified_at) return;
  freshness.verified_at = at;
  freshness.next_check_at =
      std::max(freshness.next_check_at, at + NextCheckAfter(freshness, random));
}

std::optional<TimePoint> AcceptedUntil(
    const ConfigurationFreshness& freshness) {
  if (!freshness.verified_at) return std::nullopt;
  return *freshness.verified_at + PartOf(freshness, kAcceptedPercent);
}

std::optional<bool> TakeOverdueChange(ConfigurationFreshness& freshness,
                                      TimePoint now) {
  const auto until = AcceptedUntil(freshness);
  const bool is_overdue = freshness.is_needed && (!until || now > *until);
  if (is_overdue == freshness.is_overdue) return std::nullopt;
  freshness.is_overdue = is_overdue;
  return is_overdue;
}

Duration WatcherWait(const ConfigurationFreshness& freshness) {
  return PartOf(freshness, kWatcherWaitPercent);
}

bool TakeDueQuestions(ConfigurationFreshness& freshness, bool is_watching,
                      TimePoint now) {
  EraseOldQuestions(freshness, now);
  if (!freshness.is_needed || now < freshness.next_question_at) return false;
  const bool is_served =
      is_watching && freshness.verified_at &&
      now - *freshness.verified_at < PartOf(freshness, kWatcherAgePercent);
  if (is_served) return false;
  // Ticks that come late don't add up.
  const Duration interval = PartOf(freshness, kQuestionPercent);
  freshness.next_question_at += interval;
  if (freshness.next_question_at <= now)
    freshness.next_question_at = now + interval;
  return true;
}

std::uint64_t OpenQuestion(ConfigurationFreshness& freshness,
                           const std::string& instance, const Endpoint& peer,
                           TimePoint now, Random& random) {
  const std::uint64_t number = random();
  freshness.questions[number] = {instance, peer, now};
  return number;
}

std::optional<FreshnessAnswer> AnswerTo(const ConfigurationFreshness& freshness,
                                        const FreshnessQuestion& question,
                                        ConfigVersion installed,
                                        ConfigVersion highest_known,
                                        TimePoint now) {
  const auto& verified_at = freshness.verified_at;
  if (!freshness.is_needed || !verified_at || now < *verified_at)
    return std::nullopt;
  FreshnessAnswer answer;
  answer.number = question.number;
  answer.version = installed;
  answer.age_us = (now - *verified_at).count();
  answer.highest_known = highest_known;
  return answer;
}

std::optional<std::string> HandleFreshnessAnswer(
    ConfigurationFreshness& freshness, const FreshnessAnswer& answer,
    const Endpoint& peer, ConfigVersion installed, TimePoint now,
    Random& random) {
  EraseOldQuestions(freshness, now);
  const auto it = freshness.questions.find(answer.number);
  if (it == freshness.questions.end() || it->second.peer != peer)
    return std::nullopt;
  const OpenFreshnessQuestion question = it->second;
  freshness.questions.erase(it);
  const Duration age(answer.age_us);
  if (age < Duration::zero() || age > kMaxAge) return std::nullopt;
  if (answer.version == installed)
    RecordVerified(freshness, question.asked_at - age, random);
  return question.instance;
}

bool TakeDueCheck(ConfigurationFreshness& freshness, TimePoint now,
                  Random& random) {
  if (!freshness.is_needed || now < freshness.next_check_at) return false;
  const bool is_fresh =
      freshness.verified_at &&
      now - *freshness.verified_at < PartOf(freshness, kCheckPercent);
  if (is_fresh) return false;
  freshness.next_check_at = now + NextCheckAfter(freshness, random);
  return true;
}

}  // namespace ibisladder::gateway
