#ifndef TOOLS_LOAD_FLEET_DOCUMENT_H_
#define TOOLS_LOAD_FLEET_DOCUMENT_H_

#include <cstddef>
#include <string>

/// Declarations of a large fleet for measurements. Its backend servers do not
/// exist.
namespace ibisladder::load {

struct FleetSize {
  std::size_t services = 340;
  std::size_t servers = 8200;
  std::size_t routes = 15000;
  std::size_t organisations = 25000;
};

/// Returns a JSON document as docs/DECLARATIONS.md describes it. The same size
/// always gives the same document.
std::string MakeFleetDocument(const FleetSize& size);

}  // namespace ibisladder::load

#endif  // TOOLS_LOAD_FLEET_DOCUMENT_H_
