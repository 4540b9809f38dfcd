#include "tools/ibisladder/table.h"

#include <algorithm>

namespace ibisladder::tool {
namespace {

constexpr std::size_t kColumnGap = 2;

std::vector<std::size_t> WidthsOf(const std::vector<TableRow>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], std::max<std::size_t>(1, row[i].size()));
    }
  }
  return widths;
}

}  // namespace

std::string PrintableText(std::string text) {
  for (char& it : text) {
    const auto byte = static_cast<unsigned char>(it);
    if (byte < ' ' || byte == 0x7f) it = '?';
  }
  return text;
}

std::string FormatTable(const std::vector<TableRow>& rows) {
  const auto widths = WidthsOf(rows);
  std::string buf;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string cell = row[i].empty() ? "-" : PrintableText(row[i]);
      line += cell;
      line.append(widths[i] - cell.size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    buf += line + "\n";
  }
  return buf;
}

}  // namespace ibisladder::tool
