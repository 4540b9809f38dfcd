#ifndef LIBS_DECLARATIONS_DECLARATION_FIELDS_H_
#define LIBS_DECLARATIONS_DECLARATION_FIELDS_H_

#include <array>
#include <tuple>
#include <utility>

#include "libs/declarations/declarations.h"
#include "libs/declarations/field_table.h"

/// The JSON fields of declarations, with their ranges. parse.cc reads and
/// writes the arrays.
namespace ibisladder::declarations {

/// Maximum size of a declarations document.
constexpr std::size_t kMaxDocumentBytes = 16U << 20U;
/// Maximum body size that still fits into one frame between instances, together
/// with the frame's other fields.
constexpr std::int64_t kMaxBodyBytes = 7LL << 20U;
constexpr std::int64_t kMaxDurationMs = 600'000;

inline constexpr auto kTopFields = std::tuple(
    json::MillisField<Declarations>{"keep_addresses_ms",
                                    &Declarations::keep_addresses, 1000,
                                    kMaxDurationMs},
    json::IntegerField<Declarations, std::uint8_t>{
        "address_count", &Declarations::address_count, 1, 16, "addresses"},
    json::IntegerField<Declarations, std::uint16_t>{
        "subset_size", &Declarations::subset_size, 0, 4096, "backend servers"});

inline constexpr auto kServiceFields = std::tuple(
    json::TextField<Service, std::string>{"name", &Service::name, json::IsName,
                                          json::kNameRule,
                                          json::Presence::kRequired},
    json::IntegerField<Service, std::uint8_t>{
        "floor_percent", &Service::floor_percent, 0, 100, "percent"},
    json::RealField<Service>{"false_ejections_per_server_day",
                             &Service::false_ejections_per_server_day, 0.0001,
                             100.0, "ejections"},
    json::MillisField<Service>{"warm_up_ms", &Service::warm_up, 0,
                               kMaxDurationMs},
    json::IntegerField<Service, std::uint8_t>{"retry_budget_percent",
                                              &Service::retry_budget_percent, 0,
                                              100, "percent"},
    json::IntegerField<Service, std::uint16_t>{
        "queue_limit", &Service::queue_limit, 0, 10'000, "requests"},
    json::MillisField<Service>{"max_deadline_ms", &Service::max_deadline, 10,
                               kMaxDurationMs},
    json::IntegerField<Service, std::size_t>{"max_request_bytes",
                                             &Service::max_request_bytes, 0,
                                             kMaxBodyBytes, "bytes"},
    json::IntegerField<Service, std::size_t>{"max_answer_bytes",
                                             &Service::max_answer_bytes, 0,
                                             kMaxBodyBytes, "bytes"},
    json::TextField<Service, std::string>{"health_path", &Service::health_path,
                                          json::IsPath, json::kPathRule});

inline constexpr auto kServerFields = std::tuple(
    json::TextField<BackendServer, std::string>{"name", &BackendServer::name,
                                                json::IsName, json::kNameRule,
                                                json::Presence::kRequired},
    json::EndpointField<BackendServer>{"endpoint", &BackendServer::endpoint},
    json::TextField<BackendServer, ZoneName>{"zone", &BackendServer::zone,
                                             json::IsName, json::kNameRule,
                                             json::Presence::kRequired},
    json::IntegerField<BackendServer, std::uint16_t>{
        "slots", &BackendServer::slots, 1, 1024, "requests"},
    json::IntegerField<BackendServer, std::uint16_t>{
        "max_connections", &BackendServer::max_connections, 1, 65'535,
        "connections"},
    json::FlagField<BackendServer>{"drained", &BackendServer::drained});

inline constexpr auto kRouteFields =
    std::tuple(
        json::TextField<Route, std::string>{
            "prefix", &Route::prefix, json::IsPathPrefix, json::kPathPrefixRule,
            json::Presence::kRequired},
        json::TextField<Route, std::string>{"service", &Route::service,
                                            json::IsName, json::kNameRule,
                                            json::Presence::kRequired},
        json::ChoiceField<Route, RepeatRule, 2>{
            "repeat",
            &Route::repeat,
            {{{"idempotent", RepeatRule::kIdempotent},
              {"at-most-once", RepeatRule::kAtMostOnce}}}},
        json::ChoiceField<Route, Priority, 3>{"priority",
                                              &Route::priority,
                                              {{{"high", Priority::kHigh},
                                                {"normal", Priority::kNormal},
                                                {"low", Priority::kLow}}}},
        json::MillisField<Route>{"deadline_ms", &Route::deadline, 10,
                                 kMaxDurationMs});

inline constexpr auto kOrganisationFields = std::tuple(
    json::TextField<Organisation, std::string>{"name", &Organisation::name,
                                               json::IsName, json::kNameRule,
                                               json::Presence::kRequired},
    json::IntegerField<Organisation, std::uint32_t>{
        "requests_per_second", &Organisation::requests_per_second, 0, 1'000'000,
        "requests/s"},
    json::IntegerField<Organisation, std::uint32_t>{
        "max_in_flight", &Organisation::max_in_flight, 0, 100'000, "requests"});

}  // namespace ibisladder::declarations

#endif  // LIBS_DECLARATIONS_DECLARATION_FIELDS_H_
