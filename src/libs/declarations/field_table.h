#ifndef LIBS_DECLARATIONS_FIELD_TABLE_H_
#define LIBS_DECLARATIONS_FIELD_TABLE_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/declarations/field_checks.h"
#include "libs/declarations/json_document.h"

/// Tables that describe a struct's JSON fields. One table, a std::tuple of the
/// field types below, is used to read, to write and to check the docs.
namespace ibisladder::json {

/// Whether a field may be omitted; an omitted field keeps the struct's default.
enum class Presence : std::uint8_t { kOptional, kRequired };

/// An integer within [min, max].
template <typename Struct, typename Number>
struct IntegerField {
  std::string_view name;
  Number Struct::*member;
  std::int64_t min;
  std::int64_t max;
  std::string_view unit;
  Presence presence = Presence::kOptional;
};

/// A Duration written in milliseconds; the name ends in "_ms".
template <typename Struct>
struct MillisField {
  std::string_view name;
  Duration Struct::*member;
  std::int64_t min;
  std::int64_t max;
};

/// A number within [min, max].
template <typename Struct>
struct RealField {
  std::string_view name;
  double Struct::*member;
  double min;
  double max;
  std::string_view unit;
};

template <typename Struct>
struct FlagField {
  std::string_view name;
  bool Struct::*member;
};

/// A string that `check` accepts; `rule` describes the accepted format.
template <typename Struct, typename Value>
struct TextField {
  std::string_view name;
  Value Struct::*member;
  bool (*check)(std::string_view);
  std::string_view rule;
  Presence presence = Presence::kOptional;
};

/// An IP address with a port.
template <typename Struct>
struct EndpointField {
  std::string_view name;
  Endpoint Struct::*member;
};

/// One of a fixed set of strings, each of which stands for an enum value.
template <typename Struct, typename Enum, std::size_t kCount>
struct ChoiceField {
  std::string_view name;
  Enum Struct::*member;
  std::array<std::pair<std::string_view, Enum>, kCount> choices;
};

/// A field as the docs list it.
struct FieldInfo {
  std::string name;
  std::string type;
  std::string unit;
  /// "required", or the default as JSON.
  std::string default_value;
  /// "1 to 16", or the rule of a text.
  std::string range;
};

/// A value, its JSON pointer, and the list that takes its errors.
struct FieldContext {
  const Json& value;
  const std::string& pointer;
  Errors& errors;
};

namespace Internal {

inline void Assign(std::string& member, std::string text) {
  member = std::move(text);
}
template <typename Tag, typename Rep, typename Value>
void Assign(Strong<Tag, Rep>& member, Value value) {
  member = Strong<Tag, Rep>(static_cast<Rep>(std::move(value)));
}
template <typename Number>
requires std::is_integral_v<Number>
void Assign(Number& member, std::int64_t value) {
  member = static_cast<Number>(value);
}

template <typename Value>
const Value& Unwrap(const Value& value) {
  return value;
}
template <typename Tag, typename Rep>
const Rep& Unwrap(const Strong<Tag, Rep>& value) {
  return value.value();
}

/// The Read functions below return false and add an error if the value is
/// invalid; `out` keeps its value then.
bool ReadInteger(const FieldContext& context, std::int64_t min,
                 std::int64_t max, std::int64_t& out);
bool ReadReal(const FieldContext& context, double min, double max, double& out);
bool ReadFlag(const FieldContext& context, bool& out);
bool ReadText(const FieldContext& context, bool (*check)(std::string_view),
              std::string_view rule, std::string& out);
bool ReadEndpoint(const FieldContext& context, Endpoint& out);
void ReportInvalidChoice(const FieldContext& context,
                         const std::vector<std::string_view>& choices);

std::string FormatRange(std::int64_t min, std::int64_t max);
std::string FormatRange(double min, double max);
std::string FormatChoices(const std::vector<std::string_view>& choices);

void ReportMissingField(std::string_view name, const std::string& pointer,
                        Errors& errors);
/// Adds an error for each key of `object` that is not in `known`.
void ReportUnknownFields(const Json& object, const std::string& pointer,
                         const std::vector<std::string_view>& known,
                         Errors& errors);

template <typename Field>
std::vector<std::string_view> ChoiceNames(const Field& field) {
  std::vector<std::string_view> choices;
  for (const auto& [name, value] : field.choices) choices.push_back(name);
  return choices;
}

template <typename Field>
bool IsRequired(const Field& field) {
  if constexpr (requires { field.presence; }) {
    return field.presence == Presence::kRequired;
  }
  return false;
}
template <typename Struct>
bool IsRequired(const EndpointField<Struct>& /*field*/) {
  return true;
}

template <typename Struct, typename Number>
void Read(const IntegerField<Struct, Number>& field,
          const FieldContext& context, Struct& out) {
  if (std::int64_t n = 0; ReadInteger(context, field.min, field.max, n)) {
    Assign(out.*field.member, n);
  }
}
template <typename Struct>
void Read(const MillisField<Struct>& field, const FieldContext& context,
          Struct& out) {
  if (std::int64_t n = 0; ReadInteger(context, field.min, field.max, n)) {
    out.*field.member = Millis(n);
  }
}
template <typename Struct>
void Read(const RealField<Struct>& field, const FieldContext& context,
          Struct& out) {
  ReadReal(context, field.min, field.max, out.*field.member);
}
template <typename Struct>
void Read(const FlagField<Struct>& field, const FieldContext& context,
          Struct& out) {
  ReadFlag(context, out.*field.member);
}
template <typename Struct, typename Value>
void Read(const TextField<Struct, Value>& field, const FieldContext& context,
          Struct& out) {
  if (std::string buf; ReadText(context, field.check, field.rule, buf)) {
    Assign(out.*field.member, std::move(buf));
  }
}
template <typename Struct>
void Read(const EndpointField<Struct>& field, const FieldContext& context,
          Struct& out) {
  ReadEndpoint(context, out.*field.member);
}
template <typename Struct, typename Enum, std::size_t kCount>
void Read(const ChoiceField<Struct, Enum, kCount>& field,
          const FieldContext& context, Struct& out) {
  for (const auto& [name, value] : field.choices) {
    if (context.value == Json(name)) {
      out.*field.member = value;
      return;
    }
  }
  ReportInvalidChoice(context, ChoiceNames(field));
}

template <typename Field, typename Struct>
OrderedJson Write(const Field& field, const Struct& from) {
  return Unwrap(from.*field.member);
}
template <typename Struct>
OrderedJson Write(const MillisField<Struct>& field, const Struct& from) {
  return ToMillis(from.*field.member);
}
template <typename Struct>
OrderedJson Write(const EndpointField<Struct>& field, const Struct& from) {
  return FormatEndpoint(from.*field.member);
}
template <typename Struct, typename Enum, std::size_t kCount>
OrderedJson Write(const ChoiceField<Struct, Enum, kCount>& field,
                  const Struct& from) {
  for (const auto& [name, value] : field.choices) {
    if (from.*field.member == value) return name;
  }
  return nullptr;
}

template <typename Struct, typename Number>
FieldInfo Info(const IntegerField<Struct, Number>& field) {
  return {"", "integer", std::string(field.unit), "",
          FormatRange(field.min, field.max)};
}
template <typename Struct>
FieldInfo Info(const MillisField<Struct>& field) {
  return {"", "integer", "ms", "", FormatRange(field.min, field.max)};
}
template <typename Struct>
FieldInfo Info(const RealField<Struct>& field) {
  return {"", "number", std::string(field.unit), "",
          FormatRange(field.min, field.max)};
}
template <typename Struct>
FieldInfo Info(const FlagField<Struct>& /*field*/) {
  return {"", "boolean", "", "", "true or false"};
}
template <typename Struct, typename Value>
FieldInfo Info(const TextField<Struct, Value>& field) {
  return {"", "string", "", "", std::string(field.rule)};
}
template <typename Struct>
FieldInfo Info(const EndpointField<Struct>& /*field*/) {
  return {"", "string", "", "", std::string(kEndpointRule)};
}
template <typename Struct, typename Enum, std::size_t kCount>
FieldInfo Info(const ChoiceField<Struct, Enum, kCount>& field) {
  return {"", "string", "", "", FormatChoices(ChoiceNames(field))};
}

}  // namespace Internal

/// Fills `out` from an object and adds an error for each unknown, missing or
/// invalid field. `others` lists the fields that the caller reads itself.
template <typename Struct, typename... Fields>
void ReadFields(const std::tuple<Fields...>& table, const Json& object,
                const std::string& pointer, Struct& out, Errors& errors,
                const std::vector<std::string_view>& others = {}) {
  if (!object.is_object()) {
    AddError(errors, ResultCode::kWrongType, pointer,
             "expected an object, found " + DescribeValue(object));
    return;
  }
  std::vector<std::string_view> known;
  const auto read = [&](const auto& field) {
    known.push_back(field.name);
    if (const auto it = object.find(field.name); it != object.end()) {
      const std::string place = PointerTo(pointer, field.name);
      Internal::Read(field, FieldContext{*it, place, errors}, out);
    } else if (Internal::IsRequired(field)) {
      Internal::ReportMissingField(field.name, pointer, errors);
    }
  };
  std::apply([&](const auto&... field) { (read(field), ...); }, table);
  known.insert(known.end(), others.begin(), others.end());
  Internal::ReportUnknownFields(object, pointer, known, errors);
}

/// Returns an object with every field, in the table's order.
template <typename Struct, typename... Fields>
OrderedJson WriteFields(const std::tuple<Fields...>& table,
                        const Struct& from) {
  OrderedJson object = OrderedJson::object();
  const auto write = [&](const auto& field) {
    object[std::string(field.name)] = Internal::Write(field, from);
  };
  std::apply([&](const auto&... field) { (write(field), ...); }, table);
  return object;
}

/// Returns the table as the docs list it.
template <typename Struct, typename... Fields>
std::vector<FieldInfo> DescribeFields(const std::tuple<Fields...>& table,
                                      const Struct& defaults) {
  std::vector<FieldInfo> infos;
  const auto describe = [&](const auto& field) {
    FieldInfo info = Internal::Info(field);
    info.name = field.name;
    info.default_value = Internal::IsRequired(field)
                             ? "required"
                             : Internal::Write(field, defaults).dump();
    infos.push_back(std::move(info));
  };
  std::apply([&](const auto&... field) { (describe(field), ...); }, table);
  return infos;
}

}  // namespace ibisladder::json

#endif  // LIBS_DECLARATIONS_FIELD_TABLE_H_
