// Selection of the addresses that callers get.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "libs/callerpath/path_state.h"
#include "libs/callerpath/replies.h"

namespace ibisladder::callerpath::Internal {
namespace {

constexpr int kOk = 200;

void Shuffle(std::vector<const FleetMember*>& members, Random& random) {
  for (std::size_t n = members.size(); n > 1; --n) {
    std::swap(members[n - 1], members[UniformBelow(random, n)]);
  }
}

bool IsAdvertised(const CallerPath& path, const FleetMember& member) {
  if (member.instance != path.settings.instance) return !member.leaving;
  return !path.is_drained && !path.stop_at;
}

/// This instance as a fleet member, with its current era.
FleetMember Self(const CallerPath& path, TimePoint now) {
  FleetMember self;
  self.instance = path.settings.instance;
  self.incarnation = path.settings.incarnation;
  self.era = CurrentEra(path, now);
  self.zone = path.settings.zone;
  self.caller_endpoint = path.settings.caller_endpoint;
  return self;
}

std::vector<FleetMember> AdvertisedMembers(const CallerPath& path,
                                           TimePoint now) {
  std::vector<FleetMember> members = {Self(path, now)};
  for (const auto& it : path.fleet) {
    if (it.instance != path.settings.instance) members.push_back(it);
  }
  std::erase_if(members,
                [&](const auto& it) { return !IsAdvertised(path, it); });
  return members;
}

/// Chooses up to `count` members, one of each zone in turn, starting with
/// `own_zone`. The order within a zone is random.
std::vector<const FleetMember*> ChooseMembers(
    const std::vector<FleetMember>& members, const ZoneName& own_zone,
    std::size_t count, Random& random) {
  std::vector<const FleetMember*> order;
  order.reserve(members.size());
  for (const auto& it : members) order.push_back(&it);
  Shuffle(order, random);
  std::stable_partition(order.begin(), order.end(),
                        [&](const auto* it) { return it->zone == own_zone; });
  std::map<ZoneName, std::size_t> taken;
  std::vector<std::pair<std::size_t, const FleetMember*>> ranked;
  for (const auto* it : order) ranked.emplace_back(taken[it->zone]++, it);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& left, const auto& right) {
                     return left.first < right.first;
                   });
  std::vector<const FleetMember*> chosen;
  for (const auto& [rank, it] : ranked) {
    if (chosen.size() < count) chosen.push_back(it);
  }
  return chosen;
}

ResultCode CheckAddressRequest(const CallerPath& path,
                               const std::string& service) {
  if (!path.configuration) return ResultCode::kNotReady;
  if (!service.empty() && !path.services.contains(MakeServiceId(service))) {
    return ResultCode::kNoRoute;
  }
  return ResultCode::kDone;
}

}  // namespace

void HandleAddressesRequested(Context& context,
                              const AddressesRequested& event) {
  CallerPath& path = context.path;
  ResultCode code = CheckAddressRequest(path, event.service);
  const std::vector<FleetMember> members = AdvertisedMembers(path, context.now);
  if (code == ResultCode::kDone && members.empty()) {
    code = ResultCode::kStopping;
  }
  if (code != ResultCode::kDone) {
    context.actions.emplace_back(AnswerCall{
        event.call, MakeReply(code, RetryAfterOf(code, context.random))});
    return;
  }
  const auto& declared = path.configuration->declarations;
  nlohmann::ordered_json addresses = nlohmann::ordered_json::array();
  for (const auto* it : ChooseMembers(members, path.settings.zone,
                                      declared.address_count, context.random)) {
    addresses.push_back(
        {{"address", FormatEndpoint(it->caller_endpoint)},
         {"zone", it->zone.value()},
         {"ticket",
          requests::FormatTicket({it->instance, it->incarnation, it->era})}});
  }
  nlohmann::ordered_json body;
  body["keep_ms"] = ToMillis(declared.keep_addresses);
  body["addresses"] = std::move(addresses);
  CallerAnswer answer;
  answer.code = ResultCode::kDone;
  answer.status = kOk;
  answer.headers = {{"Content-Type", "application/json"},
                    {"Cache-Control", "no-store"}};
  answer.body = body.dump();
  context.actions.emplace_back(AnswerCall{event.call, std::move(answer)});
}

}  // namespace ibisladder::callerpath::Internal
