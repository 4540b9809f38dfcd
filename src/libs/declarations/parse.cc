#include "libs/declarations/parse.h"

#include "libs/declarations/consistency.h"
#include "libs/declarations/declaration_fields.h"

namespace ibisladder::declarations {
namespace {

using json::AddError;
using json::Errors;
using json::Json;
using json::OrderedJson;
using json::PointerTo;

/// Checks that `key` is an array; its elements have been consumed already.
void CheckArray(const Json& object, const std::string& pointer,
                std::string_view key, json::Presence presence, Errors& errors) {
  if (!object.is_object()) return;
  const auto it = object.find(key);
  if (it == object.end()) {
    if (presence == json::Presence::kRequired) {
      json::Internal::ReportMissingField(key, pointer, errors);
    }
  } else if (!it->is_array()) {
    AddError(errors, ResultCode::kWrongType, PointerTo(pointer, key),
             "expected an array, found " + json::DescribeValue(*it));
  }
}

/// Consumes services, backend servers, routes and organisations one by one
/// while the document is parsed, so that it is never in memory as a whole.
class DeclarationsReader {
 public:
  explicit DeclarationsReader(Errors& errors) : errors_(errors) {}

  bool ReadElement(const json::Element& element) {
    if (element.IsIn({"services", "servers"})) {
      ReadServer(element);
    } else if (element.IsIn({"services"})) {
      ReadService(element);
    } else if (element.IsIn({"routes", "methods"})) {
      ReadMethod(element);
    } else if (element.IsIn({"routes"})) {
      ReadRoute(element);
    } else if (element.IsIn({"organisations"})) {
      ReadOrganisation(element);
    } else {
      return false;
    }
    return true;
  }

  /// Reads the remaining fields of the document.
  Declarations Finish(const Json& document) {
    json::ReadFields(kTopFields, document, "", out_, errors_,
                     {"services", "routes", "organisations"});
    CheckArray(document, "", "services", json::Presence::kRequired, errors_);
    CheckArray(document, "", "routes", json::Presence::kRequired, errors_);
    CheckArray(document, "", "organisations", json::Presence::kOptional,
               errors_);
    out_.services.shrink_to_fit();
    out_.routes.shrink_to_fit();
    out_.organisations.shrink_to_fit();
    return std::move(out_);
  }

 private:
  void ReadServer(const json::Element& element) {
    json::ReadFields(kServerFields, element.value, element.Pointer(),
                     servers_.emplace_back(), errors_);
  }

  void ReadService(const json::Element& element) {
    Service& service = out_.services.emplace_back();
    json::ReadFields(kServiceFields, element.value, element.Pointer(), service,
                     errors_, {"servers"});
    CheckArray(element.value, element.Pointer(), "servers",
               json::Presence::kRequired, errors_);
    service.servers = std::move(servers_);
    service.servers.shrink_to_fit();
    servers_.clear();
  }

  void ReadMethod(const json::Element& element) {
    const std::string pointer = element.Pointer();
    const json::FieldContext context{element.value, pointer, errors_};
    std::string method;
    // An invalid method is replaced by its pointer, not left out: a route with
    // no methods left would count as one for all methods.
    if (!json::Internal::ReadText(context, json::IsMethod, json::kMethodRule,
                                  method)) {
      method = pointer;
    }
    methods_.push_back(std::move(method));
  }

  void ReadRoute(const json::Element& element) {
    Route& route = out_.routes.emplace_back();
    json::ReadFields(kRouteFields, element.value, element.Pointer(), route,
                     errors_, {"methods"});
    CheckArray(element.value, element.Pointer(), "methods",
               json::Presence::kOptional, errors_);
    route.methods = std::move(methods_);
    route.methods.shrink_to_fit();
    methods_.clear();
  }

  void ReadOrganisation(const json::Element& element) {
    json::ReadFields(kOrganisationFields, element.value, element.Pointer(),
                     out_.organisations.emplace_back(), errors_);
  }

  Errors& errors_;
  Declarations out_;
  /// Servers and methods of the service and route that are being parsed.
  std::vector<BackendServer> servers_;
  std::vector<std::string> methods_;
};

/// Writes one line per element, so that line-based diffs of versions are small.
template <typename Elements, typename Write>
void AppendArray(std::string& buf, const char* name, const Elements& elements,
                 Write write) {
  buf += ",\n\"";
  buf += name;
  buf += "\": [";
  const char* separator = "\n";
  for (const auto& it : elements) {
    buf += separator;
    buf += write(it);
    separator = ",\n";
  }
  buf += "]";
}

/// Returns the object's text without the closing brace.
template <typename Table, typename Struct>
std::string OpenObject(const Table& table, const Struct& from) {
  std::string text = json::WriteFields(table, from).dump();
  text.pop_back();
  return text;
}

std::string WriteServer(const BackendServer& server) {
  return json::WriteFields(kServerFields, server).dump();
}

std::string WriteService(const Service& service) {
  std::string buf = OpenObject(kServiceFields, service);
  AppendArray(buf, "servers", service.servers, WriteServer);
  return buf + "}";
}

std::string WriteRoute(const Route& route) {
  OrderedJson object = json::WriteFields(kRouteFields, route);
  object["methods"] = route.methods;
  return object.dump();
}

std::string WriteOrganisation(const Organisation& organisation) {
  return json::WriteFields(kOrganisationFields, organisation).dump();
}

}  // namespace

tl::expected<Declarations, std::vector<Error>> ParseDeclarations(
    std::string_view json) {
  Errors errors;
  DeclarationsReader reader(errors);
  const Json document = json::ParseDocument(
      json, kMaxDocumentBytes, errors,
      [&reader](const json::Element& it) { return reader.ReadElement(it); });
  if (document.is_null() && !errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  Declarations declarations = reader.Finish(document);
  CheckConsistency(declarations, errors);
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  return declarations;
}

std::string FormatDeclarations(const Declarations& declarations) {
  std::string buf = OpenObject(kTopFields, declarations);
  AppendArray(buf, "services", declarations.services, WriteService);
  AppendArray(buf, "routes", declarations.routes, WriteRoute);
  AppendArray(buf, "organisations", declarations.organisations,
              WriteOrganisation);
  return buf + "}\n";
}

}  // namespace ibisladder::declarations
