#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tools/ibisladder/arguments.h"
#include "tools/ibisladder/commands.h"
#include "tools/ibisladder/failover.h"
#include "tools/ibisladder/http_sender.h"
#include "tools/ibisladder/report.h"

ABSL_FLAG(std::vector<std::string>, endpoint, {},
          "operator endpoints of instances, tried in order until one serves "
          "the call");
ABSL_FLAG(std::vector<std::string>, at, {},
          "organisations: metrics addresses of instances");
ABSL_FLAG(std::string, token_file, "",
          "file with the operators' token; default: IBISLADDER_TOKEN");
ABSL_FLAG(bool, json, false, "prints JSON on the standard output");
ABSL_FLAG(std::string, service, "",
          "status: only the backend servers of this service");
ABSL_FLAG(std::string, based_on, "",
          "apply: version that the file was made from");
ABSL_FLAG(std::string, change_id, "",
          "apply, drain server, undrain server: id of the change");

namespace ibisladder::tool {
namespace {

Expected<std::string> ReadFile(const std::string& path) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(path, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (!file.is_open() || file.bad()) {
    return Fail(ResultCode::kFileUnreadable, path, "the file cannot be read");
  }
  return text;
}

std::string MakeChangeId() {
  std::random_device device;
  std::string id;
  constexpr int kWords = 4;
  for (int i = 0; i < kWords; ++i) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    for (auto n = device(), digits = 8U; digits > 0; --digits, n >>= 4U) {
      id += kDigits[n & 0xfU];
    }
  }
  return id;
}

RawFlags ReadFlags() {
  RawFlags flags;
  flags.endpoint = absl::GetFlag(FLAGS_endpoint);
  flags.at = absl::GetFlag(FLAGS_at);
  flags.token_file = absl::GetFlag(FLAGS_token_file);
  if (const char* token = std::getenv("IBISLADDER_TOKEN"); token != nullptr) {
    flags.environment_token = token;
  }
  flags.json = absl::GetFlag(FLAGS_json);
  flags.service = absl::GetFlag(FLAGS_service);
  flags.based_on = absl::GetFlag(FLAGS_based_on);
  flags.change_id = absl::GetFlag(FLAGS_change_id);
  return flags;
}

/// Sets the Abseil flags and returns the operands.
std::vector<std::string> ParseFlags(const Arguments& arguments) {
  std::vector<std::string> texts = arguments.flags_and_operands;
  std::vector<char*> pointers;
  for (auto& it : texts) pointers.push_back(it.data());
  const auto rest = absl::ParseCommandLine(static_cast<int>(pointers.size()),
                                           pointers.data());
  return {rest.begin() + 1, rest.end()};
}

ExitCode Main(const std::vector<std::string>& args) {
  Environment env{ReadFile,     nullptr,   nullptr,
                  MakeChangeId, std::cout, std::cerr};
  env.sleep = [](Duration delay) { std::this_thread::sleep_for(delay); };
  env.fetch = FetchOverHttp;
  const auto arguments = NormaliseArguments(args);
  if (!arguments) return ReportError(env, false, arguments.error());
  std::vector<std::string> words = ParseFlags(*arguments);
  if (arguments->help) words.insert(words.begin(), "help");
  const auto options = ReadOptions(ReadFlags(), ReadFile);
  if (!options) return ReportError(env, false, options.error());
  env.channel = [&options, send = MakeHttpSender(options->token)](
                    const rpc::ProcedureCall& call) {
    return SendInOrder(options->endpoints, send, call);
  };
  return RunCommand(words, *options, env);
}

}  // namespace
}  // namespace ibisladder::tool

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv, argv + argc);
  return static_cast<int>(ibisladder::tool::Main(args));
}
