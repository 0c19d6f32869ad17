#ifndef HORNBEAMCLEAT_SRC_BASE_JSON_H_
#define HORNBEAMCLEAT_SRC_BASE_JSON_H_

#include <cxxtools/serializationinfo.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Greatest nesting of JSON text that is parsed.
inline constexpr int kMaxJsonDepth = 32;

/// Parses JSON text.
/// @param max_bytes longer text is refused unparsed
/// @throws Error with step "parse JSON"
cxxtools::SerializationInfo ParseJson(std::string_view text,
                                      std::size_t max_bytes);

/// JSON text of `value`, on one line unless `beautify`.
std::string FormatJson(const cxxtools::SerializationInfo& value,
                       bool beautify = false);

/// Value of member `name` of `object`, or `fallback` if it is missing or null.
/// @throws Error with step "parse JSON" if it has another type
template <typename T>
T JsonMember(const cxxtools::SerializationInfo& object, const std::string& name,
             const T& fallback);

/// Value of member `name`, which must be there.
/// @throws Error with step "parse JSON"
template <typename T>
T RequiredJsonMember(const cxxtools::SerializationInfo& object,
                     const std::string& name);

/// Defined for bool, int, std::int64_t, std::uint64_t, double and std::string.

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_JSON_H_
