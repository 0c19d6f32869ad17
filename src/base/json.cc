#include "src/base/json.h"

#include <cxxtools/conversionerror.h>
#include <cxxtools/json.h>
#include <cxxtools/utf8codec.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr char kStep[] = "parse JSON";

// Builds a value from the events of the parser, which works without recursion
// and in time linear in the bytes. Returning false ends the parse.
class ValueBuilder : public nlohmann::json_sax<nlohmann::json> {
 public:
  SerializationInfo TakeValue() { return std::move(root_); }
  const std::string& Failure() const { return failure_; }

  // The overridden functions are named by the library.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override {
    SerializationInfo& value = Add();
    value.setNull();
    value.setTypeName("null");
    return true;
  }

  bool boolean(bool is_true) override {
    SerializationInfo& value = Add();
    value.setValue(is_true);
    value.setTypeName("bool");
    return true;
  }

  bool number_integer(std::int64_t number) override {
    AddText(fmt::to_string(number), "int");
    return true;
  }

  bool number_unsigned(std::uint64_t number) override {
    AddText(fmt::to_string(number), "int");
    return true;
  }

  // Integers beyond 64 bits are reported as floating point, too.
  bool number_float(double, const std::string& text) override {
    const bool is_integer = text.find_first_of(".eE") == std::string::npos;
    AddText(text, is_integer ? "int" : "double");
    return true;
  }

  bool string(std::string& text) override {
    AddText(text, "string");
    return true;
  }

  bool binary(nlohmann::json::binary_t&) override {
    return Fail("binary data");
  }

  bool start_object(std::size_t) override {
    return Open(SerializationInfo::Object);
  }

  bool key(std::string& name) override {
    name_ = std::move(name);
    return true;
  }

  bool end_object() override { return Close(); }

  bool start_array(std::size_t) override {
    return Open(SerializationInfo::Array);
  }

  bool end_array() override { return Close(); }

  // The library's message quotes the text, which can be long.
  bool parse_error(std::size_t position, const std::string&,
                   const nlohmann::json::exception&) override {
    return Fail(fmt::format("not JSON at byte {}", position));
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  // Adds a value to the innermost object or array.
  SerializationInfo& Add() {
    if (open_.empty()) {
      return root_;
    }
    SerializationInfo& parent = *open_.back();
    return parent.addMember(
        parent.category() == SerializationInfo::Object ? name_ : std::string());
  }

  void AddText(const std::string& text, const char* type) {
    SerializationInfo& value = Add();
    value.setValue(text);
    value.setTypeName(type);
  }

  bool Open(SerializationInfo::Category category) {
    if (open_.size() == kMaxJsonDepth) {
      return Fail(
          fmt::format("nesting is deeper than {} levels", kMaxJsonDepth));
    }
    SerializationInfo& value = Add();
    value.setCategory(category);
    open_.push_back(&value);
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  bool Fail(std::string failure) {
    failure_ = std::move(failure);
    return false;
  }

  SerializationInfo root_;
  std::vector<SerializationInfo*>
      open_;          ///< from the outermost to the innermost
  std::string name_;  ///< of the next member
  std::string failure_;
};

// Decodes UTF-8; nullopt if the text isn't valid.
std::optional<cxxtools::String> DecodeUtf8(const std::string& text) {
  try {
    cxxtools::String decoded = cxxtools::Utf8Codec::decode(text);
    // The codec leaves out what it can't decode at the end.
    if (cxxtools::Utf8Codec::encode(decoded) == text) {
      return decoded;
    }
  } catch (const cxxtools::ConversionError&) {
    // Not UTF-8: no error, as the caller formats such text by its bytes.
  }
  return std::nullopt;
}

// The formatter takes each byte of a std::string for a character. Strings that
// aren't UTF-8 are left to it.
// NOLINTNEXTLINE(misc-no-recursion): as deep as the value that is formatted
void DecodeStrings(SerializationInfo* value) {
  for (std::size_t i = 0; i < value->memberCount(); ++i) {
    DecodeStrings(&value->getMember(static_cast<unsigned>(i)));
  }
  if (value->category() != SerializationInfo::Value || value->isNull()) {
    return;
  }
  std::string text;
  value->getValue(text);
  if (std::any_of(text.begin(), text.end(),
                  [](char c) { return static_cast<signed char>(c) < 0; })) {
    if (const std::optional<cxxtools::String> decoded = DecodeUtf8(text)) {
      value->setValue(*decoded);
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
  // The library takes a NUL for the end of the text.
  if (text.find('\0') != std::string_view::npos) {
    throw Error(kStep, "", "contains a NUL");
  }
  ValueBuilder builder;
  if (!nlohmann::json::sax_parse(text, &builder)) {
    throw Error(kStep, "", builder.Failure());
  }
  return builder.TakeValue();
}

std::string FormatJson(const cxxtools::SerializationInfo& value,
                       bool beautify) {
  SerializationInfo decoded = value;
  DecodeStrings(&decoded);
  std::ostringstream out;
  out << cxxtools::Json(decoded, beautify);
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
