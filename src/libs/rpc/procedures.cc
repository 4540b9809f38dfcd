#include "libs/rpc/procedures.h"

#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/util/json_util.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <cctype>

#include "libs/rpc/replies.h"

namespace ibisladder::rpc {
namespace {

namespace util = google::protobuf::util;

constexpr std::string_view kProtobufText = "application/x-protobuf";
constexpr std::string_view kJsonText = "application/json";

/// In the order of ProcedureCall's alternatives.
constexpr std::array<std::string_view, std::variant_size_v<ProcedureCall>>
    kProcedureNames = {"Validate",    "Apply",         "Show",   "Status",
                       "DrainServer", "DrainInstance", "Version"};

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

std::string_view TrimWhitespace(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t";
  const auto first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) return "";
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

template <std::size_t kIndex = 0>
ProcedureCall MakeCall(std::size_t index) {
  if constexpr (kIndex + 1 < std::variant_size_v<ProcedureCall>) {
    if (index != kIndex) return MakeCall<kIndex + 1>(index);
  }
  return ProcedureCall(std::in_place_index<kIndex>);
}

std::string ProcedureList() {
  std::string buf;
  for (const auto it : kProcedureNames) {
    if (!buf.empty()) buf += ", ";
    buf += it;
  }
  return buf;
}

Expected<ProcedureCall> FindProcedure(std::string_view path) {
  if (path.starts_with(kPathPrefix)) {
    const auto name = path.substr(kPathPrefix.size());
    const auto* it =
        std::find(kProcedureNames.begin(), kProcedureNames.end(), name);
    if (it != kProcedureNames.end()) {
      return MakeCall(static_cast<std::size_t>(it - kProcedureNames.begin()));
    }
  }
  return Fail(ResultCode::kNotFound, std::string(path),
              "no such procedure; expected " + std::string(kPathPrefix) +
                  " followed by one of " + ProcedureList());
}

Expected<void> ParseBody(std::string_view body, ContentType type,
                         google::protobuf::Message& message) {
  // Silences the library's log line, which repeats what the error reply says.
  const google::protobuf::LogSilencer silencer;
  if (type == ContentType::kProtobuf) {
    if (DecodeReply(body, message)) return {};
    return Fail(ResultCode::kInvalidArgument, "",
                "the body is not a binary " +
                    std::string(message.GetDescriptor()->name()));
  }
  const auto status =
      util::JsonStringToMessage({body.data(), body.size()}, &message);
  if (status.ok()) return {};
  return Fail(ResultCode::kInvalidArgument, "",
              "the body is not a JSON " +
                  std::string(message.GetDescriptor()->name()) + ": " +
                  status.message().ToString());
}

google::protobuf::Message& MessageOf(ProcedureCall& call) {
  return std::visit([](auto& it) -> google::protobuf::Message& { return it; },
                    call);
}

}  // namespace

Expected<ContentType> ParseContentType(std::string_view field) {
  const auto type = TrimWhitespace(field.substr(0, field.find(';')));
  if (EqualsIgnoreCase(type, kProtobufText)) {
    return ContentType::kProtobuf;
  }
  if (EqualsIgnoreCase(type, kJsonText)) return ContentType::kJson;
  return Fail(ResultCode::kInvalidArgument, "Content-Type",
              "expected " + std::string(kProtobufText) + " or " +
                  std::string(kJsonText));
}

std::string_view ContentTypeText(ContentType type) {
  return type == ContentType::kJson ? kJsonText : kProtobufText;
}

std::string_view ProcedureName(const ProcedureCall& call) {
  return kProcedureNames[call.index()];
}

std::string ProcedurePath(const ProcedureCall& call) {
  return std::string(kPathPrefix) + std::string(ProcedureName(call));
}

Expected<ProcedureCall> DecodeCall(std::string_view path,
                                   std::string_view content_type,
                                   std::string_view body) {
  auto call = FindProcedure(path);
  if (!call) return call;
  const auto type = ParseContentType(content_type);
  if (!type) return tl::unexpected(type.error());
  if (body.size() > kMaxCallBytes) {
    return Fail(
        ResultCode::kTooLarge, "",
        "the body has more than " + std::to_string(kMaxCallBytes) + " bytes");
  }
  if (const auto read = ParseBody(body, *type, MessageOf(*call)); !read) {
    return tl::unexpected(read.error());
  }
  return call;
}

std::string EncodeReply(const google::protobuf::Message& reply,
                        ContentType type) {
  if (type == ContentType::kProtobuf) return reply.SerializeAsString();
  util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string buf;
  if (!util::MessageToJsonString(reply, &buf, options).ok()) buf = "{}";
  return buf;
}

std::string EncodeErrorReply(const Error& error, ContentType type) {
  ValidateReply reply;
  *reply.mutable_result() = MakeResult(error);
  return EncodeReply(reply, type);
}

std::string EncodeCall(const ProcedureCall& call) {
  return std::visit([](const auto& it) { return it.SerializeAsString(); },
                    call);
}

bool DecodeReply(std::string_view body, google::protobuf::Message& reply) {
  return reply.ParseFromArray(body.data(), static_cast<int>(body.size()));
}

int HttpStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kDone:
      return 200;
    case ResultCode::kInvalidArgument:
      return 400;
    case ResultCode::kUnauthorised:
      return 401;
    case ResultCode::kNotFound:
      return 404;
    case ResultCode::kConflict:
      return 409;
    case ResultCode::kTooLarge:
      return 413;
    case ResultCode::kUnavailable:
    case ResultCode::kWriteUnknown:
    case ResultCode::kNotReady:
    case ResultCode::kStopping:
      return 503;
    default:
      return 500;
  }
}

bool IsAuthorised(std::string_view authorization, std::string_view token) {
  constexpr std::string_view kScheme = "Bearer ";
  if (token.empty() ||
      !EqualsIgnoreCase(authorization.substr(0, kScheme.size()), kScheme)) {
    return false;
  }
  const auto given = authorization.substr(kScheme.size());
  return given.size() == token.size() &&
         CRYPTO_memcmp(given.data(), token.data(), token.size()) == 0;
}

}  // namespace ibisladder::rpc
