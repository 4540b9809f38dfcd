#include "libs/declarations/field_table.h"

#include <algorithm>

namespace ibisladder::json::Internal {
namespace {

void ReportWrongType(const FieldContext& context, const std::string& expected) {
  AddError(context.errors, ResultCode::kWrongType, context.pointer,
           "expected " + expected + ", found " + DescribeValue(context.value));
}

void ReportOutOfRange(const FieldContext& context, const std::string& range) {
  AddError(context.errors, ResultCode::kOutOfRange, context.pointer,
           "expected " + range + ", found " + DescribeValue(context.value));
}

std::string FormatReal(double value) { return Json(value).dump(); }

}  // namespace

std::string FormatRange(std::int64_t min, std::int64_t max) {
  return std::to_string(min) + " to " + std::to_string(max);
}

std::string FormatRange(double min, double max) {
  return FormatReal(min) + " to " + FormatReal(max);
}

std::string FormatChoices(const std::vector<std::string_view>& choices) {
  std::string buf;
  for (const auto it : choices) {
    if (!buf.empty()) buf += " or ";
    buf += '"';
    buf += it;
    buf += '"';
  }
  return buf;
}

bool ReadInteger(const FieldContext& context, std::int64_t min,
                 std::int64_t max, std::int64_t& out) {
  const Json& value = context.value;
  if (!value.is_number_integer()) {
    ReportWrongType(context, "a whole number, " + FormatRange(min, max));
    return false;
  }
  const bool exceeds_int64 =
      value.is_number_unsigned() &&
      value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
  const auto n = exceeds_int64 ? INT64_MAX : value.get<std::int64_t>();
  if (exceeds_int64 || n < min || n > max) {
    ReportOutOfRange(context, FormatRange(min, max));
    return false;
  }
  out = n;
  return true;
}

bool ReadReal(const FieldContext& context, double min, double max,
              double& out) {
  if (!context.value.is_number()) {
    ReportWrongType(context, "a number, " + FormatRange(min, max));
    return false;
  }
  const auto n = context.value.get<double>();
  if (!(n >= min && n <= max)) {
    ReportOutOfRange(context, FormatRange(min, max));
    return false;
  }
  out = n;
  return true;
}

bool ReadFlag(const FieldContext& context, bool& out) {
  if (!context.value.is_boolean()) {
    ReportWrongType(context, "true or false");
    return false;
  }
  out = context.value.get<bool>();
  return true;
}

bool ReadText(const FieldContext& context, bool (*check)(std::string_view),
              std::string_view rule, std::string& out) {
  if (!context.value.is_string()) {
    ReportWrongType(context, "a string: " + std::string(rule));
    return false;
  }
  const auto& text = context.value.get_ref<const std::string&>();
  if (!check(text)) {
    ReportOutOfRange(context, std::string(rule));
    return false;
  }
  out = text;
  return true;
}

bool ReadEndpoint(const FieldContext& context, Endpoint& out) {
  if (!context.value.is_string()) {
    ReportWrongType(context, "a string: " + std::string(kEndpointRule));
    return false;
  }
  auto endpoint = ParseEndpoint(context.value.get_ref<const std::string&>());
  if (!endpoint) {
    AddError(context.errors, ResultCode::kBadAddress, context.pointer,
             "expected " + std::string(kEndpointRule) + ", found " +
                 DescribeValue(context.value));
    return false;
  }
  out = std::move(*endpoint);
  return true;
}

void ReportInvalidChoice(const FieldContext& context,
                         const std::vector<std::string_view>& choices) {
  if (context.value.is_string()) {
    ReportOutOfRange(context, FormatChoices(choices));
  } else {
    ReportWrongType(context, FormatChoices(choices));
  }
}

void ReportMissingField(std::string_view name, const std::string& pointer,
                        Errors& errors) {
  AddError(errors, ResultCode::kFieldMissing, PointerTo(pointer, name),
           "the field is required");
}

void ReportUnknownFields(const Json& object, const std::string& pointer,
                         const std::vector<std::string_view>& known,
                         Errors& errors) {
  for (const auto& [key, value] : object.items()) {
    if (std::find(known.begin(), known.end(), key) != known.end()) continue;
    std::string names;
    for (const auto it : known) {
      if (!names.empty()) names += ", ";
      names += it;
    }
    AddError(errors, ResultCode::kUnknownField, PointerTo(pointer, key),
             "unknown field; known are " + names);
  }
}

}  // namespace ibisladder::json::Internal
