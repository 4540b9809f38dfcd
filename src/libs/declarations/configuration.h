#ifndef LIBS_DECLARATIONS_CONFIGURATION_H_
#define LIBS_DECLARATIONS_CONFIGURATION_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libs/declarations/compact_index.h"
#include "libs/declarations/declarations.h"

/// One version of the declarations, compiled for lookups and immutable.
namespace ibisladder::declarations {

/// A version of the declarations with its lookup indexes.
struct Configuration {
  ConfigVersion version;
  Declarations declarations;
  /// Index into declarations.services.
  std::unordered_map<ServiceId, std::size_t> services;
  /// Index into declarations.organisations, by id.
  CompactIndex organisations;
  /// Index into declarations.routes, by exact prefix: the first route with that
  /// prefix.
  CompactIndex routes;
  /// Linked list of the routes that share a prefix: for each route, the
  /// position of the next one, or its own position if it is the last.
  std::vector<std::uint32_t> next_route;
  /// Bytes of the longest route prefix; lookups skip longer path prefixes.
  std::size_t longest_prefix = 0;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Builds the indexes. `declarations` must have passed the checks in parse.h.
ConfigurationPtr Compile(ConfigVersion version, Declarations declarations);

/// Returns the route with the longest prefix of `path` that allows `method`, or
/// null if there is none. `path` excludes the query. Also returns null if the
/// normalized path (escapes, dot segments, and the like resolved) has another
/// route: "/shop/./charge" must not match "/shop" if "/shop/charge" is
/// declared.
const Route* FindRoute(const Configuration& configuration,
                       std::string_view method, std::string_view path);

/// Returns null if the service is not declared.
const Service* FindService(const Configuration& configuration, ServiceId id);

/// Returns null if the organisation is not declared.
const Organisation* FindOrganisation(const Configuration& configuration,
                                     OrganisationId id);

}  // namespace ibisladder::declarations

#endif  // LIBS_DECLARATIONS_CONFIGURATION_H_
