#ifndef HORNBEAMCLEAT_SRC_BASE_JSON_H_
#define HORNBEAMCLEAT_SRC_BASE_JSON_H_

#include <cxxtools/serializationinfo.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Maximum nesting depth of JSON text.
inline constexpr int kMaxJsonDepth = 32;

/// Parses JSON text.
/// @param max_bytes longer text is rejected without parsing it
/// @throws Error with step "parse JSON"
cxxtools::SerializationInfo ParseJson(std::string_view text,
                                      std::size_t max_bytes);

/// Formats `value` as JSON, on one line unless `beautify` is set.
std::string FormatJson(const cxxtools::SerializationInfo& value,
                       bool beautify = false);

/// Returns member `name` of `object`, or `fallback` if it is missing or null.
/// @throws Error with step "parse JSON" if it has a different type
template <typename T>
T JsonMember(const cxxtools::SerializationInfo& object, const std::string& name,
             const T& fallback);

/// Returns member `name` of `object`.
/// @throws Error with step "parse JSON" if it is missing, null or has a
///   different type
template <typename T>
T RequiredJsonMember(const cxxtools::SerializationInfo& object,
                     const std::string& name);

// JsonMember and RequiredJsonMember are instantiated for bool, int,
// std::int64_t, std::uint64_t, double and std::string.

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_JSON_H_
