#include "libs/declarations/path_normalization.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace ibisladder::declarations::Internal {
namespace {

std::string Decode(std::string_view text) {
  constexpr int kHexBase = 16;
  constexpr std::size_t kEscapeBytes = 3;
  std::string buf;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + kEscapeBytes <= text.size()) {
      const char* digits = text.data() + i + 1;
      unsigned char byte = 0;
      const auto [end, ec] =
          std::from_chars(digits, digits + 2, byte, kHexBase);
      if (ec == std::errc() && end == digits + 2) {
        buf += static_cast<char>(byte);
        i += kEscapeBytes - 1;
        continue;
      }
    }
    buf += text[i];
  }
  return buf;
}

std::vector<std::string> SplitSegments(std::string_view path) {
  std::vector<std::string> segments;
  for (std::size_t start = 0; start <= path.size();) {
    const auto end = std::min(path.find_first_of("/\\", start), path.size());
    const auto segment = path.substr(start, end - start);
    segments.emplace_back(segment.substr(0, segment.find(';')));
    start = end + 1;
  }
  return segments;
}

}  // namespace

bool IsPlainPath(std::string_view path) {
  char previous = '\0';
  for (const char it : path) {
    if (it == '%' || it == ';' || it == '\\') return false;
    if (previous == '/' && (it == '/' || it == '.')) return false;
    previous = it;
  }
  return true;
}

std::string NormalizePath(std::string_view path) {
  std::vector<std::string> kept;
  for (auto& it : SplitSegments(Decode(path))) {
    if (it.empty() || it == ".") continue;
    if (it != "..") {
      kept.push_back(std::move(it));
    } else if (!kept.empty()) {
      kept.pop_back();
    }
  }
  std::string buf;
  for (const auto& it : kept) buf += "/" + it;
  return buf.empty() ? "/" : buf;
}

}  // namespace ibisladder::declarations::Internal
