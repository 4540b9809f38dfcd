#include "libs/declarations/json_document.h"

namespace ibisladder::json {
namespace {

constexpr std::size_t kMaxShownBytes = 60;

std::string PointerOf(const std::vector<Step>& steps) {
  std::string pointer;
  for (const auto& it : steps) {
    pointer =
        it.is_array ? PointerTo(pointer, it.index) : PointerTo(pointer, it.key);
  }
  return pointer;
}

/// Returns the library's message without the exception's name and number.
std::string SyntaxMessage(const Json::exception& error) {
  const std::string text = error.what();
  if (const auto n = text.find("] "); n != std::string::npos) {
    return text.substr(n + 2);
  }
  return text;
}

/// Builds the document from the parser's events. The library's own builder
/// silently keeps the last of duplicate keys, and if it has a callback, it
/// searches the whole array after each element.
class DocumentBuilder : public nlohmann::json_sax<Json> {
 public:
  DocumentBuilder(Errors& errors, const ElementReader& reader)
      : errors_(errors), reader_(reader) {}

  Json TakeDocument() { return failed_ ? Json() : std::move(root_); }

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(std::int64_t value) override { return Add(value); }
  bool number_unsigned(std::uint64_t value) override { return Add(value); }
  bool number_float(double value, const std::string& /*text*/) override {
    return Add(value);
  }
  bool string(std::string& value) override { return Add(std::move(value)); }
  bool binary(Json::binary_t& /*value*/) override { return false; }

  bool start_object(std::size_t /*size*/) override {
    return Open(Json::object());
  }
  bool start_array(std::size_t /*size*/) override {
    return Open(Json::array());
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(std::string& value) override {
    steps_.back().key = value;
    if (!open_.back().value.emplace(std::move(value), nullptr).second) {
      AddError(errors_, ResultCode::kDuplicateName, PointerOf(steps_),
               "the field occurs more than once in its object; keep one");
    }
    return true;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const Json::exception& error) override {
    return Abort(ResultCode::kNotJson, "", SyntaxMessage(error));
  }

 private:
  struct OpenValue {
    Json value;
    /// Number of values kept in the document before this one.
    std::size_t kept_before = 0;
  };

  bool Abort(ResultCode code, const std::string& pointer,
             const std::string& message) {
    AddError(errors_, code, pointer, message);
    failed_ = true;
    return false;
  }

  bool Open(Json value) {
    if (open_.size() == kMaxDepth) {
      return Abort(ResultCode::kOutOfRange, PointerOf(steps_),
                   "nested too deeply; at most " + std::to_string(kMaxDepth) +
                       " levels are allowed");
    }
    steps_.push_back({value.is_array(), "", 0});
    open_.push_back({std::move(value), kept_});
    return true;
  }

  bool Close() {
    OpenValue closed = std::move(open_.back());
    open_.pop_back();
    steps_.pop_back();
    return Attach(std::move(closed.value), closed.kept_before);
  }

  bool Add(Json value) { return Attach(std::move(value), kept_); }

  bool Attach(Json value, std::size_t kept_before) {
    if (++kept_ > kMaxValues) {
      return Abort(ResultCode::kTooLarge, PointerOf(steps_),
                   "too many values; at most " + std::to_string(kMaxValues) +
                       " are allowed besides declared items");
    }
    if (open_.empty()) {
      root_ = std::move(value);
    } else if (steps_.back().is_array) {
      AttachElement(std::move(value), kept_before);
    } else {
      open_.back().value[steps_.back().key] = std::move(value);
    }
    return true;
  }

  void AttachElement(Json value, std::size_t kept_before) {
    if (reader_ && reader_(Element{steps_, value})) {
      kept_ = kept_before;
    } else {
      open_.back().value.push_back(std::move(value));
    }
    ++steps_.back().index;
  }

  Errors& errors_;
  const ElementReader& reader_;
  Json root_;
  std::vector<OpenValue> open_;
  std::vector<Step> steps_;
  std::size_t kept_ = 0;
  bool failed_ = false;
};

}  // namespace

bool Element::IsIn(std::initializer_list<std::string_view> arrays) const {
  if (steps.size() != 2 * arrays.size()) return false;
  std::size_t i = 0;
  for (const auto it : arrays) {
    if (steps[i].is_array || steps[i].key != it) return false;
    if (!steps[i + 1].is_array) return false;
    i += 2;
  }
  return true;
}

std::string Element::Pointer() const { return PointerOf(steps); }

void AddError(Errors& errors, ResultCode code, const std::string& pointer,
              std::string message) {
  if (errors.size() >= kMaxErrors) return;
  if (errors.size() + 1 == kMaxErrors) {
    message += " (any further errors are left out)";
  }
  errors.push_back({code, pointer, std::move(message)});
}

std::string PointerTo(const std::string& pointer, std::string_view key) {
  std::string buf = pointer + "/";
  for (const char it : key) {
    if (it == '~') {
      buf += "~0";
    } else if (it == '/') {
      buf += "~1";
    } else {
      buf += it;
    }
  }
  return buf;
}

std::string PointerTo(const std::string& pointer, std::size_t index) {
  return pointer + "/" + std::to_string(index);
}

std::string DescribeValue(const Json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return "an array";
  std::string buf = value.dump(-1, ' ', true, Json::error_handler_t::replace);
  if (buf.size() > kMaxShownBytes) {
    buf.resize(kMaxShownBytes);
    buf += "...";
  }
  return buf;
}

Json ParseDocument(std::string_view text, std::size_t max_bytes, Errors& errors,
                   const ElementReader& reader) {
  if (text.size() > max_bytes) {
    AddError(errors, ResultCode::kTooLarge, "",
             "the document has " + std::to_string(text.size()) +
                 " bytes; at most " + std::to_string(max_bytes) +
                 " are allowed");
    return nullptr;
  }
  DocumentBuilder builder(errors, reader);
  Json::sax_parse(text, &builder);
  return builder.TakeDocument();
}

}  // namespace ibisladder::json
