#include "tools/ibisladder/difference.h"

#include <algorithm>
#include <map>

#include "libs/declarations/parse.h"

namespace ibisladder::tool {
namespace {

using declarations::Declarations;
using json::OrderedJson;

/// Fields of each part, by the part's kind and name.
using Parts = std::map<std::string, OrderedJson>;

/// Removes `key` from `object` and returns its value.
OrderedJson Take(OrderedJson& object, const std::string& key) {
  OrderedJson value = std::move(object[key]);
  object.erase(key);
  return value;
}

std::string RouteName(const OrderedJson& route) {
  std::vector<std::string> methods = route["methods"];
  std::sort(methods.begin(), methods.end());
  std::string buf = "route";
  for (const auto& it : methods) buf += (buf == "route" ? " " : ",") + it;
  if (methods.empty()) buf += " any";
  return buf + " " + route["prefix"].get<std::string>();
}

void AddService(OrderedJson service, Parts& parts) {
  const std::string name = service["name"];
  for (auto& it : Take(service, "servers")) {
    const std::string server = it["name"];
    parts["backend server " + name + "/" + server] = std::move(it);
  }
  parts["service " + name] = std::move(service);
}

Parts PartsOf(const Declarations& declarations) {
  Parts parts;
  OrderedJson document =
      OrderedJson::parse(declarations::FormatDeclarations(declarations));
  for (auto& it : Take(document, "services")) AddService(it, parts);
  for (auto& it : Take(document, "routes")) {
    const std::string name = RouteName(it);
    it.erase("methods");
    parts[name] = std::move(it);
  }
  for (auto& it : Take(document, "organisations")) {
    const std::string name = it["name"];
    parts["organisation " + name] = std::move(it);
  }
  parts["declarations"] = std::move(document);
  return parts;
}

void CompareFields(const std::string& item, const OrderedJson& before,
                   const OrderedJson& after,
                   std::vector<Difference>& differences) {
  for (const auto& [field, value] : before.items()) {
    if (value == after[field]) continue;
    differences.push_back(
        {DifferenceKind::kChanged, item, field, value, after[field]});
  }
}

std::string_view KindName(DifferenceKind kind) {
  switch (kind) {
    case DifferenceKind::kAdded:
      return "added";
    case DifferenceKind::kRemoved:
      return "removed";
    case DifferenceKind::kChanged:
      break;
  }
  return "changed";
}

}  // namespace

std::vector<Difference> Compare(const Declarations& before,
                                const Declarations& after) {
  const Parts old_parts = PartsOf(before);
  const Parts new_parts = PartsOf(after);
  std::vector<Difference> differences;
  for (const auto& [item, fields] : old_parts) {
    const auto it = new_parts.find(item);
    if (it == new_parts.end()) {
      differences.push_back({DifferenceKind::kRemoved, item, "", {}, {}});
    } else {
      CompareFields(item, fields, it->second, differences);
    }
  }
  for (const auto& [item, fields] : new_parts) {
    if (old_parts.contains(item)) continue;
    differences.push_back({DifferenceKind::kAdded, item, "", {}, {}});
  }
  std::stable_sort(
      differences.begin(), differences.end(),
      [](const Difference& a, const Difference& b) { return a.item < b.item; });
  return differences;
}

std::string FormatDifferences(const std::vector<Difference>& differences) {
  std::string buf;
  for (const auto& it : differences) {
    switch (it.kind) {
      case DifferenceKind::kAdded:
        buf += "+ " + it.item + "\n";
        break;
      case DifferenceKind::kRemoved:
        buf += "- " + it.item + "\n";
        break;
      case DifferenceKind::kChanged:
        buf += "~ " + it.item + ": " + it.field + " " + it.before.dump() +
               " -> " + it.after.dump() + "\n";
        break;
    }
  }
  return buf;
}

OrderedJson DifferencesToJson(const std::vector<Difference>& differences) {
  OrderedJson list = OrderedJson::array();
  for (const auto& it : differences) {
    OrderedJson entry = {{"kind", KindName(it.kind)}, {"item", it.item}};
    if (it.kind == DifferenceKind::kChanged) {
      entry["field"] = it.field;
      entry["before"] = it.before;
      entry["after"] = it.after;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

}  // namespace ibisladder::tool
