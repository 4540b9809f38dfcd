#ifndef PLUGINS_FLEET_FLEET_TASK_H_
#define PLUGINS_FLEET_FLEET_TASK_H_

#include <sigc++/sigc++.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libs/base/log_event.h"
#include "libs/detection/detector.h"
#include "libs/gateway/configuration.h"
#include "libs/gateway/configuration_freshness.h"
#include "libs/gateway/configuration_lag.h"
#include "libs/gateway/ended_entries.h"
#include "libs/gateway/list_updates.h"
#include "libs/gateway/messages.h"
#include "libs/gateway/organisations.h"
#include "libs/gateway/zone_traffic.h"
#include "libs/net/event_loop.h"
#include "libs/net/udp_socket.h"
#include "libs/storesync/registration.h"
#include "libs/storesync/store_trust.h"
#include "libs/storesync/store_view.h"
#include "plugins/fleet/configuration_decoder.h"
#include "plugins/fleet/kv_transport.h"

/// Keeps the configuration and the lists of servers and instances up to date,
/// from the store and from updates of the zone's watcher, and exchanges
/// evidence about servers with the other instances.
namespace ibisladder::fleet {

/// Keys of the store's items, and what parses their values. That returns an
/// error for values that it doesn't understand.
struct StoreSchema {
  std::unique_ptr<ConfigurationDecoder> (*make_configuration_decoder)() =
      nullptr;
  Expected<gateway::ServerEntry> (*parse_server)(
      std::string_view key, std::string_view value) = nullptr;
  std::string configuration_prefix;
  std::string configuration_key;
  std::string servers_prefix;
  std::string members_prefix;
  /// Of the record of the store's era; used with strict revocation only.
  std::string era_key;
};

class FleetTask {
 public:
  struct Options {
    gateway::Member self;
    StoreSchema schema;
    gateway::DirectorySettings directory;
    std::uint64_t seed = 1;
    /// Keys of organisations are accepted only as long as the store confirms
    /// the configuration that has them.
    bool strict_revocation = false;
    Duration revocation_time = Seconds(5);
  };

  /// Returns kInternal if the endpoint for peers cannot be bound.
  static Expected<std::unique_ptr<FleetTask>> Create(
      net::EventLoop& loop, const Options& options,
      std::unique_ptr<KvTransport> transport);

  /// Sends the digests to all other instances.
  void ShareEvidence(const std::vector<detection::Digest>& digests);
  /// Sends the news to all other instances.
  void ShareLimits(const std::vector<gateway::LimitNews>& news);
  void SendLimits(const Endpoint& peer,
                  const std::vector<gateway::LimitNews>& news);
  /// Sends the message to all other instances.
  void ShareCrashes(const gateway::CrashMessage& message);
  void SendCrashes(const Endpoint& peer, const gateway::CrashMessage& message);
  /// Sends the servers to all other instances.
  void ShareLeaving(const std::vector<BackendServerId>& servers);
  void SendLeaving(const Endpoint& peer,
                   const std::vector<BackendServerId>& servers);
  /// Sends the message to all other advertised instances.
  void SharePressure(const admission::PressureMessage& message);
  /// Tells all other instances to which services this one has no path.
  void SharePaths(const std::vector<ServiceId>& lost);
  void AskPermit(const gateway::AskPermit& question);
  void AnswerPermit(const gateway::AnswerPermit& answer);
  void AskCredit(const gateway::AskCredit& question);
  void AnswerCredit(const gateway::AnswerCredit& answer);
  void TellStart(const gateway::TellStart& message);
  /// Ends this instance's registration, which removes it from the other
  /// instances' lists.
  void Leave();

  /// Returns the addresses that a caller in `zone` gets.
  std::vector<Endpoint> AddressesFor(const ZoneName& zone) const;
  std::size_t members() const { return lists_.members.size(); }
  /// Returns whether this instance watches the store's lists for its zone.
  bool is_watching() const { return is_watching_; }
  /// Numbers of all and of failed calls to the store since the start.
  std::uint64_t store_calls() const { return last_call_id_; }
  std::uint64_t store_failures() const { return store_failures_; }
  /// Number of reads that were started again before the open call had ended.
  std::uint64_t restarted_reads() const { return restarted_reads_; }
  /// Bytes of datagrams that were sent to instances of other zones.
  const gateway::ZoneTraffic& zone_traffic() const { return zone_traffic_; }
  const gateway::ConfigurationLag& configuration_lag() const { return lag_; }
  const gateway::ConfigurationFreshness& freshness() const {
    return freshness_;
  }
  /// Returns whether the lists of servers and instances have been known once.
  bool has_lists() const { return has_lists_; }

  sigc::signal<void(const gateway::ConfigurationPtr&)>& signal_configuration() {
    return configuration_changed_;
  }
  /// Emitted when it changes, and before the configuration that it is about.
  sigc::signal<void(const gateway::KeyStanding&)>& signal_key_standing() {
    return key_standing_changed_;
  }
  sigc::signal<void(const std::vector<gateway::ServerEntry>&)>&
  signal_servers() {
    return servers_changed_;
  }
  /// Emitted when the list of instances has changed.
  sigc::signal<void(const gateway::DirectoryState&)>& signal_directory_state() {
    return directory_state_changed_;
  }
  sigc::signal<void(InstanceId, const std::vector<detection::Digest>&)>&
  signal_evidence() {
    return evidence_received_;
  }
  sigc::signal<void(const Endpoint&, const gateway::PermitRequest&)>&
  signal_permit_request() {
    return permit_requested_;
  }
  sigc::signal<void(const gateway::PermitReply&)>& signal_permit_reply() {
    return permit_replied_;
  }
  sigc::signal<void(const Endpoint&, const limits::CreditRequest&)>&
  signal_credit_request() {
    return credit_requested_;
  }
  /// A listed instance tells when its process started.
  sigc::signal<void(const limits::ProcessStart&)>& signal_process_start() {
    return start_received_;
  }
  sigc::signal<void(const limits::CreditReply&)>& signal_credit_reply() {
    return credit_replied_;
  }
  sigc::signal<void(const std::vector<gateway::LimitNews>&)>& signal_limits() {
    return limits_received_;
  }
  sigc::signal<void(const gateway::CrashMessage&)>& signal_crashes() {
    return crashes_received_;
  }
  sigc::signal<void(const std::vector<BackendServerId>&)>& signal_leaving() {
    return leaving_received_;
  }
  /// Another instance tells, with its name, to which services it has no path.
  sigc::signal<void(const std::string&, const std::vector<ServiceId>&)>&
  signal_paths() {
    return paths_received_;
  }
  sigc::signal<void(const admission::PressureMessage&)>& signal_pressure() {
    return pressure_received_;
  }
  /// Another instance asks for all known limits of servers, for requests that
  /// crash servers and for servers that leave.
  sigc::signal<void(const Endpoint&)>& signal_limits_question() {
    return limits_asked_;
  }
  sigc::signal<void(const LogLine&)>& signal_log() { return log_; }

 private:
  FleetTask(net::EventLoop& loop, Options options,
            std::unique_ptr<KvTransport> transport,
            std::unique_ptr<net::UdpSocket> peers);

  enum class CallOwner : std::uint8_t {
    kConfiguration,
    kServers,
    kMembers,
    kRegistration,
    kFreshness,
    kTrust
  };
  struct OpenCall {
    CallOwner owner = CallOwner::kRegistration;
    /// Kind of the call, as logged.
    const char* name = "";
    TimePoint sent_at;
    /// The same by the clock that counts suspension.
    TimePoint boot_sent_at;
    /// Bytes of the reply that have arrived, and when the last ones were seen.
    std::size_t received = 0;
    TimePoint received_at;
  };

  /// A value of the configuration that is being decoded, and what the reply
  /// that it came with shows.
  struct ConfigurationRead {
    OpenCall call;
    /// Number of values in the reply, of which only the last one is decoded.
    std::size_t values = 0;
    TimePoint received_at;
    /// When the call was sent that shows that no newer version was
    /// acknowledged, by the clock that counts suspension.
    std::optional<TimePoint> verified_at;
    /// When the list was asked for whose last page this is.
    std::optional<TimePoint> list_sent_at;
  };

  static const char* OwnerName(CallOwner owner);

  void ConnectSignals();
  void Tick();
  void UpdateWatchDuty(TimePoint now);
  void RelistIfOutdated(TimePoint now);
  void SendUpdateIfDue(TimePoint now);
  bool AreListsCurrent(TimePoint now) const;
  void RelistServersAndMembers(const char* reason, TimePoint now);
  void Relist(storesync::StoreView& view, CallOwner owner, const char* reason,
              TimePoint now);
  /// Cancels the open call of a view that is read again.
  void AbandonRead(CallOwner owner, const char* reason, TimePoint now);
  void TrackProgress(TimePoint now);
  /// Returns whether a reply to the open call of `owner` is arriving. Such a
  /// call is not lost, however long it takes.
  bool IsReceiving(CallOwner owner, TimePoint now) const;
  void CancelCalls(CallOwner owner);
  /// Returns the open call of `owner` as logged, such as "list 120 ms".
  std::string DescribeOpenCall(CallOwner owner, TimePoint now) const;
  void LogUnreadableItems(const OpenCall& call, const storesync::Reply& reply);
  void LogFailedCall(const OpenCall& call, const storesync::CallFailed& failed);
  void UpdateViewPauses();
  void SendDue(storesync::StoreView& view, CallOwner owner);
  void SendDueRegistration();
  void Send(CallOwner owner, const storesync::Call& call);
  void HandleReply(std::uint64_t id, const storesync::Reply& reply,
                   std::optional<storesync::StoreEra> era);
  void HandleCurrentReply(const OpenCall& call, const storesync::Reply& reply);
  void HandleStoreRecovery();
  /// The views with the owners of their calls.
  std::array<std::pair<CallOwner, storesync::StoreView*>, 3> Views();

  // A store that was restored from an older copy.

  /// Gives up what depends on revisions and leases of the earlier era, and
  /// reads the store again.
  void HandleRestoredStore();
  /// Believes entries that were written after the store was restored.
  void RecordWrittenEntries(CallOwner owner, const storesync::Reply& reply);
  void EndDoubtIfDue(TimePoint now);
  /// Returns whether the store has the highest version that is known.
  bool HasStoreHighestKnown() const;
  /// Returns whether the store may lack a version that was acknowledged.
  bool MayStoreBeBehind(TimePoint now) const;
  /// Returns whether this process has known until now which version is the
  /// newest.
  bool IsInformed() const;
  void SendDueTrustCall(TimePoint now);
  void HandleTrustReply(const storesync::Reply& reply, TimePoint now);
  /// Ends the doubt of a process that started before a restored store. `by`:
  /// the instance that told the highest version that it knows of, or "time".
  void TrustStore(const std::string& by);
  void TrackStoreAvailability(const storesync::Reply& reply);
  void ApplyConfiguration(gateway::Configuration configuration);
  void ApplyServers();
  void ApplyMembers();
  /// Logs an entry that cannot be read, and remembers it in `known`, unless it
  /// is known already.
  void LogUnreadable(std::map<std::string, storesync::Revision>& known,
                     const std::string& key, storesync::Revision changed_at,
                     const std::string& reason);
  void Publish();
  void HandleDatagram(const net::Datagram& datagram);
  void HandleUpdate(const Endpoint& peer, const gateway::ListUpdate& update);
  void HandleAnnouncedVersion(const std::string& sender, ConfigVersion version);
  void TellVersionIfDue(TimePoint now);
  std::vector<gateway::Member> WatchersOfOtherZones(std::size_t per_zone) const;
  /// Returns whether this instance is one of a few of its zone, chosen at
  /// random each time.
  bool IsChosenToTell();
  void HandleConfigurationReply(const OpenCall& call,
                                const storesync::Reply& reply, TimePoint now);
  void StartDecoding(const std::string& value);
  void ContinueDecoding();
  void FinishConfigurationRead(
      std::optional<gateway::Configuration> configuration);
  void LogConfigurationRead(const ConfigurationRead& read,
                            ConfigVersion version, TimePoint now);
  /// Replaces an open watch, which may have been lost.
  void RenewConfigurationWatch(const char* reason, TimePoint now);
  /// Lists the configuration next if a higher version is known. A watch would
  /// return all versions in between, too.
  void ListConfigurationIfBehind(TimePoint now);

  // Freshness of the configuration.

  void TickFreshness();
  /// Returns the instances to which the next questions go.
  std::vector<gateway::Member> InstancesToAsk();
  void AskInstances(TimePoint now);
  void SendCheck();
  void HandleCheckReply(const OpenCall& call, const storesync::Reply& reply);
  /// Returns when the call was sent whose reply shows that no newer version was
  /// acknowledged before, in which the first page of a list counts.
  std::optional<TimePoint> VerificationTime(const OpenCall& call,
                                            const storesync::Reply& reply);
  /// Records such a time. A store without a readable version, or with a lower
  /// one, shows nothing.
  void VerifyConfiguration(std::optional<TimePoint> at);
  void HandleFreshnessQuestion(const Endpoint& peer,
                               const gateway::FreshnessQuestion& question);
  void HandleFreshnessAnswer(const Endpoint& peer,
                             const gateway::FreshnessAnswer& answer);
  /// Adapts to a configuration that is about to be installed.
  void UpdateFreshnessNeed(const gateway::Configuration& configuration);
  Duration ConfigurationWatchWait() const;
  void TellKeyStanding();
  void AskForLimitsIfDue(TimePoint now);
  /// Returns the datagram that tells the highest known version.
  std::string EncodeVersion() const;
  void SendToAll(const std::string& bytes);
  void SendTo(const gateway::Member& member, const std::string& bytes);
  void HandleProcessStart(const Endpoint& peer,
                          const limits::ProcessStart& start);
  /// Replies to an instance.
  void SendToPeer(const Endpoint& peer, const std::string& bytes);
  void Log(LogEvent event, std::vector<LogField> fields);

  net::EventLoop& loop_;
  Options options_;
  std::unique_ptr<KvTransport> transport_;
  std::unique_ptr<net::UdpSocket> peer_socket_;
  Random random_;
  storesync::StoreView configuration_view_;
  storesync::StoreView servers_view_;
  storesync::StoreView members_view_;
  storesync::Registration registration_;
  gateway::SharedLists lists_;
  gateway::EndedEntries ended_;
  std::optional<storesync::StoreEra> store_era_;
  bool has_lists_ = false;
  gateway::WatchDuty watch_duty_;
  gateway::UpdateLog update_log_;
  bool is_watching_ = false;
  bool is_announcing_ = false;
  /// Since when the lists differ from those that the zone's watcher announces.
  std::optional<TimePoint> lists_differ_since_;
  gateway::ConfigurationLag lag_;
  /// Of the value that the store holds; none if that cannot be read, or is
  /// being decoded.
  std::optional<ConfigVersion> stored_version_;
  storesync::StoreTrust trust_;
  /// When a call was sent that verifies the configuration once the store is
  /// trusted, by the clock that counts suspension.
  std::optional<TimePoint> untrusted_verification_at_;
  gateway::ConfigurationFreshness freshness_;
  gateway::KeyStanding key_standing_;
  /// When the first page of the list of the configuration was asked for, also
  /// by the clock that counts suspension.
  TimePoint configuration_list_sent_at_;
  TimePoint configuration_list_boot_sent_at_;
  /// Made for the first value.
  std::unique_ptr<ConfigurationDecoder> decoder_;
  /// Set while a value is being decoded; no call is made for it meanwhile.
  std::optional<ConfigurationRead> configuration_read_;
  Duration decode_time_{};
  std::unique_ptr<net::Timer> decode_timer_;
  /// Of this instance's zone; empty after the list of instances has changed.
  std::vector<gateway::Member> first_watchers_;
  /// The highest version that this instance has told others as a watcher, and
  /// when it first and last did.
  ConfigVersion told_version_;
  TimePoint first_told_at_;
  TimePoint last_told_at_;
  /// The listed instances, and this one if it is not listed and not leaving.
  std::vector<gateway::Member> members_;
  /// The list of instances was told at least once since it is known.
  bool has_told_members_ = false;
  std::vector<gateway::ServerEntry> published_servers_;
  std::map<std::string, storesync::Revision> unreadable_servers_;
  std::map<std::string, storesync::Revision> unreadable_members_;
  gateway::ZoneTraffic zone_traffic_;
  std::uint64_t last_call_id_ = 0;
  std::uint64_t store_failures_ = 0;
  std::uint64_t restarted_reads_ = 0;
  std::map<std::uint64_t, OpenCall> open_calls_;
  bool is_store_lost_ = false;
  std::uint32_t consecutive_failures_ = 0;
  int limits_questions_ = 0;
  TimePoint limits_asked_at_;
  net::Timer tick_timer_;
  sigc::signal<void(const gateway::ConfigurationPtr&)> configuration_changed_;
  sigc::signal<void(const gateway::KeyStanding&)> key_standing_changed_;
  sigc::signal<void(const std::vector<gateway::ServerEntry>&)> servers_changed_;
  sigc::signal<void(const gateway::DirectoryState&)> directory_state_changed_;
  sigc::signal<void(InstanceId, const std::vector<detection::Digest>&)>
      evidence_received_;
  sigc::signal<void(const Endpoint&, const gateway::PermitRequest&)>
      permit_requested_;
  sigc::signal<void(const gateway::PermitReply&)> permit_replied_;
  sigc::signal<void(const Endpoint&, const limits::CreditRequest&)>
      credit_requested_;
  sigc::signal<void(const limits::CreditReply&)> credit_replied_;
  sigc::signal<void(const limits::ProcessStart&)> start_received_;
  sigc::signal<void(const std::vector<gateway::LimitNews>&)> limits_received_;
  sigc::signal<void(const gateway::CrashMessage&)> crashes_received_;
  sigc::signal<void(const std::vector<BackendServerId>&)> leaving_received_;
  sigc::signal<void(const std::string&, const std::vector<ServiceId>&)>
      paths_received_;
  sigc::signal<void(const admission::PressureMessage&)> pressure_received_;
  sigc::signal<void(const Endpoint&)> limits_asked_;
  sigc::signal<void(const LogLine&)> log_;
};

}  // namespace ibisladder::fleet

#endif  // PLUGINS_FLEET_FLEET_TASK_H_
