#include "tools/ibisladder/report.h"

#include "tools/ibisladder/table.h"

namespace ibisladder::tool {
namespace {

json::OrderedJson ToJson(const Error& error) {
  return {{"code", static_cast<int>(error.code)},
          {"place", error.place},
          {"message", error.message}};
}

std::string ToLine(const std::string& subject, const Error& error) {
  std::string line = subject;
  if (!error.place.empty()) line += ": " + error.place;
  line += ": " + error.message;
  // Messages come from instances and quote files, so they may contain control
  // characters.
  return PrintableText(line) + " (code " +
         std::to_string(static_cast<int>(error.code)) + ")\n";
}

}  // namespace

void PrintJson(const Environment& env, const json::OrderedJson& document) {
  constexpr int kIndent = 2;
  env.out << document.dump(kIndent, ' ', false,
                           json::OrderedJson::error_handler_t::replace)
          << "\n";
}

ExitCode ReportError(const Environment& env, bool as_json, const Error& error) {
  if (as_json) {
    PrintJson(env, ToJson(error));
  } else {
    env.err << ToLine("ibisladder", error);
  }
  return ExitCodeOf(error.code);
}

ExitCode ReportFileErrors(const Environment& env, bool as_json,
                          const std::string& file,
                          const std::vector<Error>& errors) {
  if (as_json) {
    json::OrderedJson list = json::OrderedJson::array();
    for (const auto& it : errors) list.push_back(ToJson(it));
    PrintJson(env, {{"code", static_cast<int>(ResultCode::kInvalidArgument)},
                    {"place", file},
                    {"message", "the declarations are invalid"},
                    {"errors", list}});
  } else {
    for (const auto& it : errors) {
      env.err << ToLine(file,
                        it.place.empty()
                            ? Error{it.code, "(whole document)", it.message}
                            : it);
    }
    env.err << file << ": " << errors.size()
            << (errors.size() == 1 ? " error" : " errors")
            << "; nothing was changed\n";
  }
  return ExitCode::kInvalid;
}

ExitCode ReportResult(const Environment& env, bool as_json,
                      const rpc::Result& result, const std::string& file) {
  if (result.errors().empty()) {
    return ReportError(
        env, as_json,
        {static_cast<ResultCode>(result.code()), "", result.message()});
  }
  std::vector<Error> errors;
  for (const auto& it : result.errors()) {
    errors.push_back(
        {static_cast<ResultCode>(it.code()), it.pointer(), it.message()});
  }
  return ReportFileErrors(env, as_json, file, errors);
}

Error DeliveryError(const CallResult& result, bool is_change) {
  if (result.delivery == Delivery::kAnswered) {
    return {ResultCode::kDone, "", ""};
  }
  if (is_change && result.delivery == Delivery::kReplyLost) {
    return {ResultCode::kWriteUnknown, "",
            "the reply was lost, so the change may have been made: " +
                result.detail};
  }
  return {ResultCode::kUnavailable, "",
          "no instance answered: " + result.detail};
}

}  // namespace ibisladder::tool
