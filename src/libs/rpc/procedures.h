#ifndef LIBS_RPC_PROCEDURES_H_
#define LIBS_RPC_PROCEDURES_H_

#include <operators.pb.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "libs/base/result_code.h"
#include "libs/declarations/declaration_fields.h"

/// Encodes and decodes the messages of operators.proto as HTTP bodies, for the
/// daemon and for the command-line tool. Does no transport.
namespace ibisladder::rpc {

using ProcedureCall =
    std::variant<ValidateRequest, ApplyRequest, ShowRequest, StatusRequest,
                 DrainServerRequest, DrainInstanceRequest, VersionRequest>;

/// A procedure's path is this prefix followed by its name.
constexpr std::string_view kPathPrefix = "/ibisladder.Operators/";

/// Maximum body size of a call: a document with every byte escaped, plus the
/// other fields.
constexpr std::size_t kMaxCallBytes =
    2 * declarations::kMaxDocumentBytes + 65536;

enum class ContentType : std::uint8_t { kProtobuf, kJson };

/// Parses a Content-Type field and ignores its parameters. kInvalidArgument for
/// an unsupported type.
Expected<ContentType> ParseContentType(std::string_view field);
/// Returns the value of the Content-Type field to send.
std::string_view ContentTypeText(ContentType type);

/// Returns the name, such as "Apply".
std::string_view ProcedureName(const ProcedureCall& call);
/// Returns the path, such as "/ibisladder.Operators/Apply".
std::string ProcedurePath(const ProcedureCall& call);

// Used by the daemon.

/// Fails with kNotFound for an unknown path, kTooLarge for an oversized body
/// and kInvalidArgument for an unsupported content type or a body that cannot
/// be decoded. Unknown JSON fields are errors.
Expected<ProcedureCall> DecodeCall(std::string_view path,
                                   std::string_view content_type,
                                   std::string_view body);
/// JSON output includes fields with default values, named as in the schema.
std::string EncodeReply(const google::protobuf::Message& reply,
                        ContentType type);
/// Encodes a reply that contains only the error; it decodes as any reply type.
std::string EncodeErrorReply(const Error& error, ContentType type);

// Used by the command-line tool; always binary.

std::string EncodeCall(const ProcedureCall& call);
/// Returns false if `body` cannot be decoded as a message of that type.
bool DecodeReply(std::string_view body, google::protobuf::Message& reply);

/// Returns the HTTP status for a reply with that result code.
int HttpStatusOf(ResultCode code);

/// Whether an Authorization field is "Bearer <token>". The time taken does not
/// depend on which bytes of a token of the right length are wrong.
bool IsAuthorised(std::string_view authorization, std::string_view token);

}  // namespace ibisladder::rpc

#endif  // LIBS_RPC_PROCEDURES_H_
