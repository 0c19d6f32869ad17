#include "src/base/json.h"

#include <cxxtools/json.h>
#include <cxxtools/jsondeserializer.h>
#include <fmt/format.h>

#include <cstdint>
#include <exception>
#include <sstream>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr char kStep[] = "parse JSON";

// The parser allocates an object per nesting level, so the depth is limited
// before parsing.
void CheckDepth(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
      continue;
    }
    if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxJsonDepth) {
        throw Error(
            kStep, "",
            fmt::format("nesting is deeper than {} levels", kMaxJsonDepth));
      }
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
}

template <typename T>
T Convert(const cxxtools::SerializationInfo& member, const std::string& name) {
  try {
    T value{};
    member.getValue(value);
    return value;
  } catch (const std::exception& e) {
    throw Error(kStep, "", fmt::format("member '{}': {}", name, e.what()));
  }
}

}  // namespace

cxxtools::SerializationInfo ParseJson(std::string_view text,
                                      std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    throw Error(kStep, "", fmt::format("longer than {} bytes", max_bytes));
  }
  CheckDepth(text);
  try {
    std::istringstream in{std::string(text)};
    cxxtools::JsonDeserializer deserializer(in);
    if (deserializer.current() == nullptr) {
      throw Error(kStep, "", "no value");
    }
    return *deserializer.current();
  } catch (const Error&) {
    throw;
  } catch (const std::exception& e) {
    throw Error(kStep, "", e.what());
  }
}

std::string FormatJson(const cxxtools::SerializationInfo& value,
                       bool beautify) {
  std::ostringstream out;
  out << cxxtools::Json(value, beautify);
  return out.str();
}

template <typename T>
T JsonMember(const cxxtools::SerializationInfo& object, const std::string& name,
             const T& fallback) {
  const cxxtools::SerializationInfo* member = object.findMember(name);
  if (member == nullptr || member->isNull()) {
    return fallback;
  }
  return Convert<T>(*member, name);
}

template <typename T>
T RequiredJsonMember(const cxxtools::SerializationInfo& object,
                     const std::string& name) {
  const cxxtools::SerializationInfo* member = object.findMember(name);
  if (member == nullptr || member->isNull()) {
    throw Error(kStep, "", fmt::format("member '{}' is missing", name));
  }
  return Convert<T>(*member, name);
}

#define HORNBEAMCLEAT_JSON_TYPE(T)                                     \
  template T JsonMember<T>(const cxxtools::SerializationInfo&,         \
                           const std::string&, const T&);              \
  template T RequiredJsonMember<T>(const cxxtools::SerializationInfo&, \
                                   const std::string&)
HORNBEAMCLEAT_JSON_TYPE(bool);
HORNBEAMCLEAT_JSON_TYPE(int);
HORNBEAMCLEAT_JSON_TYPE(std::int64_t);
HORNBEAMCLEAT_JSON_TYPE(std::uint64_t);
HORNBEAMCLEAT_JSON_TYPE(double);
HORNBEAMCLEAT_JSON_TYPE(std::string);
#undef HORNBEAMCLEAT_JSON_TYPE

}  // namespace hornbeamcleat
