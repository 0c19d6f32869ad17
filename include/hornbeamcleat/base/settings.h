#ifndef HORNBEAMCLEAT_BASE_SETTINGS_H_
#define HORNBEAMCLEAT_BASE_SETTINGS_H_

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Type of a setting's value. Durations need a unit: us, ms, s, m or h.
/// Addresses have the form IP:PORT; lists of addresses are comma-separated.
enum class SettingType {
  kText,
  kInteger,
  kNumber,  ///< integer or decimal fraction
  kDuration,
  kAddress,
  kAddressList,
  kBoolean
};

/// Schema of one setting. Settings files are validated against a program's
/// rules, and the settings reference is generated from them.
struct SettingRule {
  std::string section;
  std::string key;
  SettingType type = SettingType::kText;
  std::string default_value;  ///< empty if `required`
  bool required = false;
  std::int64_t min = 0;  ///< minimum value; microseconds for durations
  std::int64_t max = 0;  ///< maximum value; 0 means unbounded
  std::string help;      ///< one sentence

  bool operator==(const SettingRule&) const = default;
};

/// IP address and port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  /// "IP:PORT".
  std::string ToString() const;
  /// Parses "IP:PORT"; throws Error with step "parse address".
  static Address Parse(std::string_view text);

  // clang-tidy 14 reports the literal 0 in a defaulted comparison as a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Address&) const = default;
};

/// Validated settings of a program. Immutable.
class Settings {
 public:
  /// Parses INI text and validates it against `rules`.
  /// @throws Error that names the file, line, key and expected value, on an
  ///   unknown or duplicate key, an invalid unit, a value out of range, a
  ///   missing required key, or two listen keys ("listen*") that share an
  ///   address
  static Settings Parse(std::istream& in, const std::string& file_name,
                        const std::vector<SettingRule>& rules);

  /// Parses the file at `path`; throws Error as Parse does.
  static Settings Load(const std::string& path,
                       const std::vector<SettingRule>& rules);

  /// Formats the settings reference for `rules` as Markdown.
  static std::string Reference(const std::vector<SettingRule>& rules);

  /// Each getter returns the value of a key that the rules define with the
  /// getter's type.
  const std::string& Text(std::string_view section, std::string_view key) const;
  std::int64_t Integer(std::string_view section, std::string_view key) const;
  double Number(std::string_view section, std::string_view key) const;
  Duration GetDuration(std::string_view section, std::string_view key) const;
  Address GetAddress(std::string_view section, std::string_view key) const;
  std::vector<Address> GetAddressList(std::string_view section,
                                      std::string_view key) const;
  bool Boolean(std::string_view section, std::string_view key) const;

 private:
  std::map<std::string, std::string, std::less<>> values_;  ///< "section.key"
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_SETTINGS_H_
