// Requests with a withdrawn key after the store came back from an older copy.
#include "review/standins-3/standins.h"

namespace ibisladder::review {
namespace {

constexpr int kMemoryLimitMb = 260;
constexpr char kKey[] = "key-of-acme-41d7";
constexpr char kWithdrawnKey[] = "key-of-acme-93c2";
/// `revoke_s` of the settings.
constexpr Millis kRevocation(5000);
/// Age of the copy, beyond the withdrawal.
constexpr Millis kCopyAge(1000);
/// From the withdrawal's acknowledgement to the drill.
constexpr Millis kUntilDrill(6000);
constexpr Millis kAway(500);
/// From the store's return until the operator has written its newest version
/// again.
constexpr Millis kUntilRewritten(1500);

Message MakeKeyed(const std::string& key) {
  auto request = MakeRequest("POST", "/charge/1", "order");
  request.headers.emplace_back("X-Api-Key", key);
  return request;
}

int StatusOfOne(const Entry& entry, const Message& request) {
  Connection connection(entry.callers());
  return StatusOf(Ask(connection, request));
}

int Play(Record& record, const std::string& folder) {
  static Store store;
  static Runs runs;
  static BackendServer first(store, runs, "s1", "shop");
  static BackendServer second(store, runs, "s2", "shop");
  Configuration configuration;
  configuration.organisation = "acme";
  configuration.keys = {kKey, kWithdrawnKey};
  store.Put("op/config", Format(configuration));
  Entry entry(store, folder, "edge-1", kMemoryLimitMb);
  const Entry other(store, folder, "edge-2", kMemoryLimitMb);
  std::this_thread::sleep_for(Millis(4000));
  store.MakeCopy();
  std::this_thread::sleep_for(kCopyAge);
  configuration.version = 2;
  configuration.keys = {kKey};
  const auto withdrawn_at = store.Put("op/config", Format(configuration));
  record.Write("version 2 withdraws a key: acknowledged");
  const auto since = [&] {
    return std::chrono::duration_cast<Millis>(Clock::now() - withdrawn_at);
  };
  std::this_thread::sleep_for(kUntilDrill);
  record.Write("the withdrawn key at edge-1: status " +
               std::to_string(StatusOfOne(entry, MakeKeyed(kWithdrawnKey))) +
               ", at edge-2: status " +
               std::to_string(StatusOfOne(other, MakeKeyed(kWithdrawnKey))));
  if (HasTrouble()) store.Leave();
  entry.Restart();
  record.Write("edge-1 was killed and started again");
  std::this_thread::sleep_for(kAway);
  if (HasTrouble()) {
    store.Restore();
    record.Write("the store is back from its copy");
  }
  std::thread operators([&] {
    std::this_thread::sleep_for(kUntilRewritten);
    store.Put("op/config", Format(configuration));
    record.Write("the operator has written version 2 again");
  });
  int ran = 0;
  const auto end = Clock::now() + 2 * kUntilRewritten;
  while (Clock::now() < end) {
    const auto sent_at = since();
    const auto request = MakeKeyed(kWithdrawnKey);
    const int status = StatusOfOne(entry, request);
    const auto n = runs.Of(IdOf(request)).size();
    record.Write(IdOf(request) + ": sent " + std::to_string(sent_at.count()) +
                 " ms after the acknowledgement: status " +
                 std::to_string(status) + ", run " + std::to_string(n) +
                 " times");
    if (sent_at > kRevocation && n > 0) ++ran;
    std::this_thread::sleep_for(Millis(50));
  }
  operators.join();
  record.Write(std::to_string(ran) +
               " requests with the withdrawn key ran that were sent later than "
               "revoke_s after the acknowledgement");
  return ran > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace ibisladder::review

int main(int argc, char** argv) {
  return ibisladder::review::RunCase(argc, argv, &ibisladder::review::Play);
}
