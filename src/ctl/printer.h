#ifndef HORNBEAMCLEAT_SRC_CTL_PRINTER_H_
#define HORNBEAMCLEAT_SRC_CTL_PRINTER_H_

#include <cxxtools/serializationinfo.h>

#include <string>
#include <vector>

namespace hornbeamcleat {

/// Columns padded to their widest cell, two spaces apart. The first row is
/// the heading.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

/// Members of a JSON object as "key=value" on one line; nested ones with
/// dotted keys.
std::string FormatMembers(const cxxtools::SerializationInfo& object);

/// A JSON value as indented "key: value" lines.
std::string FormatTree(const cxxtools::SerializationInfo& value,
                       int indent = 0);

/// Table of resources: kind, name, version, spec and status.
std::string FormatResources(
    const std::vector<const cxxtools::SerializationInfo*>& resources);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CTL_PRINTER_H_
