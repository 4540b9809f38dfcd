// Prints declarations of PERCENT (default 100) of the target's size as JSON.
// Usage: print_declarations [PERCENT [FLOOR_PERCENT_OF_FIRST_SERVICE]]
#include <cstdio>
#include <string>

#include "benchmarks/fixture.h"
#include "libs/declarations/parse.h"

int main(int argc, char** argv) {
  namespace benchmarks = ibisladder::benchmarks;
  const double percent = argc > 1 ? std::stod(argv[1]) : 100;
  auto items = benchmarks::MakeDeclarations(benchmarks::Scale(percent / 100.0));
  if (argc > 2) {
    const auto floor = static_cast<std::uint8_t>(std::stoul(argv[2]));
    items.services.front().floor_percent = floor;
  }
  const std::string text = ibisladder::declarations::FormatDeclarations(items);
  std::puts(text.c_str());
  return 0;
}
