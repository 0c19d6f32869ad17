#ifndef HORNBEAMCLEAT_CONFIG_RESOURCE_JSON_H_
#define HORNBEAMCLEAT_CONFIG_RESOURCE_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/config/resource.h"

namespace hornbeamcleat {

/// Maximum size of a resource's JSON text.
inline constexpr std::size_t kMaxResourceBytes = 64 * 1024;

/// Parses {"kind","metadata":{"name","resourceVersion"},"spec":{...}}.
/// Durations are in "...Ms" members, deadlines in "deadlineUnixMs". Unknown
/// members are ignored, so that older builds can read newer records.
/// @throws Error with step "parse resource" that names the invalid member
Resource ParseResource(std::string_view json);

/// Parses one resource or a JSON array of them.
std::vector<Resource> ParseResources(std::string_view json);

/// Returns JSON that ParseResource parses to an equal value.
std::string FormatResource(const Resource& resource, bool beautify = false);

/// Checks value ranges, names and the order of steps, which parsing doesn't.
/// @throws Error with step "validate resource"
void ValidateResource(const Resource& resource);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_CONFIG_RESOURCE_JSON_H_
