#include "tools/ibisladder/arguments.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>

#include <algorithm>

namespace ibisladder::tool {
namespace {

/// Name, with underscores instead of dashes, and value of "--name=value".
struct ParsedFlag {
  std::string name;
  bool has_value = false;
  std::string value;
};

ParsedFlag SplitFlag(const std::string& arg) {
  ParsedFlag flag;
  const auto start = arg.find_first_not_of('-');
  const auto equals = arg.find('=');
  flag.name =
      start == std::string::npos ? "" : arg.substr(start, equals - start);
  flag.has_value = equals != std::string::npos;
  if (flag.has_value) flag.value = arg.substr(equals + 1);
  std::replace(flag.name.begin(), flag.name.end(), '-', '_');
  return flag;
}

bool IsFlag(const std::string& arg) { return arg.size() > 1 && arg[0] == '-'; }

/// Appends a flag. A further value of a list is added to the earlier ones,
/// which Abseil would replace.
void AddFlag(const absl::CommandLineFlag& known, const ParsedFlag& flag,
             std::vector<std::string>& flags) {
  const std::string start = "--" + flag.name + "=";
  const auto it = std::ranges::find_if(
      flags, [&](const auto& text) { return text.starts_with(start); });
  if (it != flags.end() && known.IsOfType<std::vector<std::string>>()) {
    *it += "," + flag.value;
  } else {
    flags.push_back(start + flag.value);
  }
}

}  // namespace

Expected<Arguments> NormaliseArguments(const std::vector<std::string>& args) {
  Arguments out;
  std::vector<std::string> operands;
  out.flags_and_operands.push_back(args.empty() ? "ibisladder" : args[0]);
  for (std::size_t i = 1; i < args.size(); ++i) {
    if (args[i] == "--") {
      operands.insert(operands.end(),
                      args.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                      args.end());
      break;
    }
    if (!IsFlag(args[i])) {
      operands.push_back(args[i]);
      continue;
    }
    ParsedFlag flag = SplitFlag(args[i]);
    if (flag.name == "help" || flag.name == "h") {
      out.help = true;
      continue;
    }
    const auto* known = absl::FindCommandLineFlag(flag.name);
    if (known == nullptr) {
      return Fail(ResultCode::kInvalidRequest, args[i],
                  "unknown flag; `ibisladder help` lists the flags");
    }
    if (!flag.has_value && known->IsOfType<bool>()) flag.value = "true";
    if (!flag.has_value && !known->IsOfType<bool>()) {
      if (i + 1 == args.size()) {
        return Fail(ResultCode::kInvalidRequest, args[i],
                    "the flag needs a value, as --flag=VALUE or --flag VALUE");
      }
      flag.value = args[++i];
    }
    if (known->IsOfType<bool>() && flag.value != "true" &&
        flag.value != "false") {
      return Fail(ResultCode::kInvalidRequest, args[i],
                  "expected true, false, or no value for true");
    }
    AddFlag(*known, flag, out.flags_and_operands);
  }
  // Keeps Abseil from parsing operands such as "-" as flags.
  out.flags_and_operands.emplace_back("--");
  out.flags_and_operands.insert(out.flags_and_operands.end(), operands.begin(),
                                operands.end());
  return out;
}

}  // namespace ibisladder::tool
