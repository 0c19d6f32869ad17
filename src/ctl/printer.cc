#include "src/ctl/printer.h"

#include <fmt/format.h>

#include <algorithm>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr int kIndent = 2;

bool IsScalar(const SerializationInfo& value) {
  return value.category() != SerializationInfo::Object &&
         value.category() != SerializationInfo::Array;
}

std::string ScalarText(const SerializationInfo& value) {
  if (value.isNull()) {
    return "-";
  }
  std::string out;
  value.getValue(out);
  return out;
}

std::string ArrayText(const SerializationInfo& value) {
  std::string out;
  for (const SerializationInfo& each : value) {
    out += out.empty() ? "" : ",";
    out += IsScalar(each) ? ScalarText(each) : "{" + FormatMembers(each) + "}";
  }
  return "[" + out + "]";
}

void AddMembers(const SerializationInfo& object, const std::string& prefix,
                std::string* out) {
  for (const SerializationInfo& each : object) {
    const std::string key = prefix + each.name();
    if (each.category() == SerializationInfo::Object) {
      AddMembers(each, key + ".", out);
      continue;
    }
    const bool array = each.category() == SerializationInfo::Array;
    *out += out->empty() ? "" : " ";
    *out += key + "=" + (array ? ArrayText(each) : ScalarText(each));
  }
}

std::string MemberText(const SerializationInfo& object,
                       const std::string& name) {
  const SerializationInfo* member = object.findMember(name);
  return member == nullptr ? "-" : FormatMembers(*member);
}

}  // namespace

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const std::vector<std::string>& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  std::string out;
  for (const std::vector<std::string>& row : rows) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n) {
      line += fmt::format("{:<{}}  ", row[n], widths[n]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

std::string FormatMembers(const SerializationInfo& object) {
  std::string out;
  AddMembers(object, "", &out);
  return out;
}

std::string FormatTree(const SerializationInfo& value, int indent) {
  const std::string margin(static_cast<std::size_t>(indent), ' ');
  if (IsScalar(value)) {
    return margin + ScalarText(value) + "\n";
  }
  std::string out;
  for (const SerializationInfo& each : value) {
    const std::string name = each.name().empty() ? "-" : each.name() + ":";
    if (IsScalar(each)) {
      out += fmt::format("{}{} {}\n", margin, name, ScalarText(each));
    } else {
      out += fmt::format("{}{}\n{}", margin, name,
                         FormatTree(each, indent + kIndent));
    }
  }
  return out;
}

std::string FormatResources(
    const std::vector<const SerializationInfo*>& resources) {
  std::vector<std::vector<std::string>> rows = {
      {"KIND", "NAME", "VERSION", "SPEC", "STATUS"}};
  const SerializationInfo none;
  for (const SerializationInfo* each : resources) {
    const SerializationInfo* metadata = each->findMember("metadata");
    const SerializationInfo& found = metadata == nullptr ? none : *metadata;
    rows.push_back(
        {JsonMember(*each, "kind", std::string("-")),
         JsonMember(found, "name", std::string("-")),
         std::to_string(JsonMember<std::uint64_t>(found, "resourceVersion", 0)),
         MemberText(*each, "spec"), MemberText(*each, "status")});
  }
  return FormatTable(rows);
}

}  // namespace hornbeamcleat
