#ifndef LIBS_GATEWAY_CONFIGURATION_FRESHNESS_H_
#define LIBS_GATEWAY_CONFIGURATION_FRESHNESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libs/base/random.h"
#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Until when an instance may rely on the keys of its configuration. It knows
/// that no newer version was acknowledged before `verified_at`, from the store
/// or from an instance that the store told. All times are of the clock that
/// also counts the time for which the machine is suspended.
namespace ibisladder::gateway {

/// First field of both messages. Later builds may append fields.
constexpr std::uint8_t kFreshnessFormat = 1;

struct FreshnessQuestion {
  std::uint8_t format = kFreshnessFormat;
  std::string sender;
  std::uint64_t number = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(format, sender, number);
  }
};

struct FreshnessAnswer {
  std::uint8_t format = kFreshnessFormat;
  /// Of the question.
  std::uint64_t number = 0;
  /// The version that the sender has installed.
  ConfigVersion version;
  /// Time since the sender's `verified_at`, in microseconds.
  std::int64_t age_us = 0;
  /// The highest version that the sender knows of, installed or announced;
  /// lower than `version` in answers of builds that do not tell it.
  ConfigVersion highest_known;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(format, number, version, age_us, highest_known);
  }
};

/// A question that was not answered yet.
struct OpenFreshnessQuestion {
  /// Name and address of the instance that was asked.
  std::string instance;
  Endpoint peer;
  TimePoint asked_at;
};

struct ConfigurationFreshness {
  /// Time within which a removed key must be refused everywhere.
  Duration revocation_time = Seconds(5);
  /// The installed configuration has organisations and the settings ask for the
  /// bound. Otherwise nothing is asked and no call is due.
  bool is_needed = false;
  /// No version above the installed one was acknowledged before.
  std::optional<TimePoint> verified_at;
  std::map<std::uint64_t, OpenFreshnessQuestion> questions;
  TimePoint next_question_at;
  TimePoint next_check_at;
  /// Latest time seen, to notice a clock that goes back.
  TimePoint latest;
  /// Whether keys were last said to be refused.
  bool is_overdue = false;
};

/// Passes the time on. A clock that went back makes all earlier times
/// worthless: nothing is verified any more.
void PassTime(ConfigurationFreshness& freshness, TimePoint now);
/// Records that a call to the store, or an answer, shows that no version above
/// the installed one was acknowledged before `at`.
void RecordVerified(ConfigurationFreshness& freshness, TimePoint at,
                    Random& random);
/// Returns until when keys are accepted; nullopt if nothing is verified.
std::optional<TimePoint> AcceptedUntil(const ConfigurationFreshness& freshness);
/// Returns whether keys are refused from now on, or accepted again; nullopt if
/// nothing has changed since the last call.
std::optional<bool> TakeOverdueChange(ConfigurationFreshness& freshness,
                                      TimePoint now);

/// Returns how long the store is to wait before it replies to a watcher's watch
/// of the configuration.
Duration WatcherWait(const ConfigurationFreshness& freshness);
/// Returns whether the watchers should be asked now. A watcher asks others only
/// when the store has not replied to it for longer than usual.
bool TakeDueQuestions(ConfigurationFreshness& freshness, bool is_watching,
                      TimePoint now);
/// Opens a question to an instance and returns its number.
std::uint64_t OpenQuestion(ConfigurationFreshness& freshness,
                           const std::string& instance, const Endpoint& peer,
                           TimePoint now, Random& random);
/// Returns the answer to a question; nullopt if this instance knows nothing.
std::optional<FreshnessAnswer> AnswerTo(const ConfigurationFreshness& freshness,
                                        const FreshnessQuestion& question,
                                        ConfigVersion installed,
                                        ConfigVersion highest_known,
                                        TimePoint now);
/// Handles an answer from `peer`. Returns the name of the instance that gave
/// it; nullopt for answers to no open question and those that cannot be true.
std::optional<std::string> HandleFreshnessAnswer(
    ConfigurationFreshness& freshness, const FreshnessAnswer& answer,
    const Endpoint& peer, ConfigVersion installed, TimePoint now,
    Random& random);
/// Returns whether the instance should verify its version by a call of its own
/// now, since no answer has verified it in time.
bool TakeDueCheck(ConfigurationFreshness& freshness, TimePoint now,
                  Random& random);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_CONFIGURATION_FRESHNESS_H_
