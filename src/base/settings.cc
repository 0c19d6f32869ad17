#include "hornbeamcleat/base/settings.h"

#include <cxxtools/iniparser.h>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr char kStep[] = "read settings";
constexpr std::int64_t kMaxPort = 65535;

struct Unit {
  std::string_view suffix;
  std::int64_t micros;
};

/// A thousand years; longer decimal durations are rejected as typing errors.
constexpr std::int64_t kMaxDurationMicros = 31'557'600'000'000'000;

// A suffix that ends in another one comes first: "ms" is tried before "s".
constexpr Unit kUnits[] = {{"us", 1},
                           {"ms", 1'000},
                           {"s", 1'000'000},
                           {"m", 60'000'000},
                           {"h", 3'600'000'000}};

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t n = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

// Parses a decimal number without sign, exponent or spaces.
std::optional<double> ParseNumber(std::string_view text) {
  if (text.empty() ||
      text.find_first_not_of("0123456789.") != std::string_view::npos) {
    return std::nullopt;
  }
  double n = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

// Converts a decimal number in the given unit, such as the 2.5 of "2.5s", to
// microseconds.
std::optional<std::int64_t> ParseDecimalMicros(std::string_view number,
                                               std::int64_t unit_micros) {
  const std::optional<double> n = ParseNumber(number);
  const double micros = n.value_or(0) * static_cast<double>(unit_micros);
  if (!n || micros >= static_cast<double>(kMaxDurationMicros)) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(micros);
}

std::optional<std::int64_t> ParseMicros(std::string_view text) {
  for (const Unit& unit : kUnits) {
    if (!text.ends_with(unit.suffix)) {
      continue;
    }
    const std::string_view number =
        text.substr(0, text.size() - unit.suffix.size());
    const std::optional<std::int64_t> n = ParseInteger(number);
    std::int64_t micros = 0;
    if (n && !__builtin_mul_overflow(*n, unit.micros, &micros)) {
      return micros;
    }
    if (const std::optional<std::int64_t> decimal =
            ParseDecimalMicros(number, unit.micros)) {
      return decimal;
    }
  }
  return std::nullopt;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) {
    const std::size_t first = part.find_first_not_of(' ');
    if (first == std::string::npos) {
      continue;
    }
    parts.push_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
  }
  return parts;
}

bool IsAddress(const std::string& text) {
  try {
    Address::Parse(text);
    return true;
  } catch (const Error&) {
    return false;
  }
}

bool InRange(const SettingRule& rule, std::int64_t n) {
  return n >= rule.min && (rule.max == 0 || n <= rule.max);
}

std::string DescribeRange(const SettingRule& rule) {
  if (rule.type != SettingType::kInteger && rule.type != SettingType::kNumber &&
      rule.type != SettingType::kDuration) {
    return "";
  }
  const char* unit = rule.type == SettingType::kDuration ? "us" : "";
  if (rule.max == 0) {
    return fmt::format("at least {}{}", rule.min, unit);
  }
  return fmt::format("{0}{2} to {1}{2}", rule.min, rule.max, unit);
}

std::string DescribeType(SettingType type) {
  switch (type) {
    case SettingType::kText:
      return "text";
    case SettingType::kInteger:
      return "integer";
    case SettingType::kNumber:
      return "number, with a fraction or without";
    case SettingType::kDuration:
      return "duration with unit us, ms, s, m or h";
    case SettingType::kAddress:
      return "address IP:PORT";
    case SettingType::kAddressList:
      return "addresses IP:PORT, separated by commas";
    case SettingType::kBoolean:
      return "true or false";
  }
  return "";
}

std::string DescribeExpected(const SettingRule& rule) {
  const std::string range = DescribeRange(rule);
  return range.empty() ? DescribeType(rule.type)
                       : fmt::format("{}, {}", DescribeType(rule.type), range);
}

bool IsValid(const SettingRule& rule, const std::string& value) {
  switch (rule.type) {
    case SettingType::kText:
      return !value.empty() || !rule.required;
    case SettingType::kInteger: {
      const std::optional<std::int64_t> n = ParseInteger(value);
      return n && InRange(rule, *n);
    }
    case SettingType::kNumber: {
      const std::optional<double> n = ParseNumber(value);
      return n && *n >= static_cast<double>(rule.min) &&
             (rule.max == 0 || *n <= static_cast<double>(rule.max));
    }
    case SettingType::kDuration: {
      const std::optional<std::int64_t> n = ParseMicros(value);
      return n && InRange(rule, *n);
    }
    case SettingType::kAddress:
      return IsAddress(value) || (value.empty() && !rule.required);
    case SettingType::kAddressList: {
      const std::vector<std::string> parts = SplitList(value);
      return std::all_of(parts.begin(), parts.end(), IsAddress);
    }
    case SettingType::kBoolean:
      return value == "true" || value == "false";
  }
  return false;
}

// Records all entries of a file with their line numbers.
class EntryCollector : public cxxtools::IniParser::Event {
 public:
  struct Entry {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
  };

  explicit EntryCollector(std::string file) : file_(std::move(file)) {}

  bool onSection(const cxxtools::String& section) override {
    section_ = section.narrow();
    return false;
  }
  bool onKey(const cxxtools::String& key) override {
    key_ = key.narrow();
    return false;
  }
  bool onValue(const cxxtools::String& value) override {
    entries_.push_back({section_, key_, value.narrow(), line_});
    return false;
  }
  bool onComment(const cxxtools::String&) override { return false; }
  bool onError() override {
    throw Error(
        kStep, "",
        fmt::format("{}:{}: syntax error, expected [section], key=value or "
                    "a comment",
                    file_, line_));
  }

  void SetLine(int line) { line_ = line; }
  const std::vector<Entry>& Entries() const { return entries_; }

 private:
  std::string file_;
  std::string section_;
  std::string key_;
  int line_ = 0;
  std::vector<Entry> entries_;
};

std::vector<EntryCollector::Entry> ParseEntries(std::istream& in,
                                                const std::string& file_name) {
  EntryCollector collector(file_name);
  cxxtools::IniParser parser(collector);
  std::string line;
  int n = 0;
  while (std::getline(in, line)) {
    collector.SetLine(++n);
    for (const char c : line) {
      parser.parse(cxxtools::Char(static_cast<unsigned char>(c)));
    }
    parser.parse(cxxtools::Char('\n'));
  }
  parser.end();
  return collector.Entries();
}

std::string JoinKey(std::string_view section, std::string_view key) {
  return fmt::format("{}.{}", section, key);
}

void CheckListenAddresses(
    const std::vector<SettingRule>& rules,
    const std::map<std::string, std::string, std::less<>>& all,
    const std::string& file_name) {
  std::set<std::string> seen;
  for (const SettingRule& rule : rules) {
    if (rule.type != SettingType::kAddress || !rule.key.starts_with("listen")) {
      continue;
    }
    const std::string& value = all.at(JoinKey(rule.section, rule.key));
    if (value.empty() || value.ends_with(":0")) {
      continue;
    }
    if (!seen.insert(value).second) {
      throw Error(kStep, "",
                  fmt::format("{}: [{}] {}: duplicate listen address {}",
                              file_name, rule.section, rule.key, value));
    }
  }
}

}  // namespace

std::string Address::ToString() const { return fmt::format("{}:{}", ip, port); }

Address Address::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    throw Error("parse address", "", fmt::format("'{}' is not IP:PORT", text));
  }
  const std::optional<std::int64_t> port = ParseInteger(text.substr(colon + 1));
  if (!port || *port < 0 || *port > kMaxPort) {
    throw Error("parse address", "",
                fmt::format("'{}' has no valid port, expected 0 to {}", text,
                            kMaxPort));
  }
  Address address;
  address.ip = std::string(text.substr(0, colon));
  const bool numeric =
      std::all_of(address.ip.begin(), address.ip.end(), [](unsigned char c) {
        return std::isxdigit(c) != 0 || c == '.' || c == ':';
      });
  if (!numeric) {
    throw Error("parse address", "",
                fmt::format("'{}' is not an IP address", address.ip));
  }
  address.port = static_cast<std::uint16_t>(*port);
  return address;
}

Settings Settings::Parse(std::istream& in, const std::string& file_name,
                         const std::vector<SettingRule>& rules) {
  Settings settings;
  for (const EntryCollector::Entry& entry : ParseEntries(in, file_name)) {
    const std::vector<SettingRule>::const_iterator it =
        std::find_if(rules.begin(), rules.end(), [&](const SettingRule& rule) {
          return rule.section == entry.section && rule.key == entry.key;
        });
    const std::string where = fmt::format("{}:{}: [{}] {}", file_name,
                                          entry.line, entry.section, entry.key);
    if (it == rules.end()) {
      throw Error(kStep, "",
                  fmt::format("{}: unknown key, expected one of the settings "
                              "reference",
                              where));
    }
    if (!IsValid(*it, entry.value)) {
      throw Error(kStep, "",
                  fmt::format("{}: invalid value '{}', expected {}", where,
                              entry.value, DescribeExpected(*it)));
    }
    if (!settings.values_
             .emplace(JoinKey(entry.section, entry.key), entry.value)
             .second) {
      throw Error(kStep, "", fmt::format("{}: duplicate key", where));
    }
  }
  for (const SettingRule& rule : rules) {
    const std::string key = JoinKey(rule.section, rule.key);
    if (settings.values_.contains(key)) {
      continue;
    }
    if (rule.required) {
      throw Error(
          kStep, "",
          fmt::format("{}: [{}] {}: required key is missing, expected {}",
                      file_name, rule.section, rule.key,
                      DescribeExpected(rule)));
    }
    settings.values_.emplace(key, rule.default_value);
  }
  CheckListenAddresses(rules, settings.values_, file_name);
  return settings;
}

Settings Settings::Load(const std::string& path,
                        const std::vector<SettingRule>& rules) {
  std::ifstream in(path);
  if (!in) {
    throw Error(kStep, "", fmt::format("{}: cannot open file", path));
  }
  return Parse(in, path, rules);
}

std::string Settings::Reference(const std::vector<SettingRule>& rules) {
  std::string page =
      "| section | key | type and range | default | meaning |\n"
      "| --- | --- | --- | --- | --- |\n";
  for (const SettingRule& rule : rules) {
    page +=
        fmt::format("| {} | {} | {} | {} | {} |\n", rule.section, rule.key,
                    DescribeExpected(rule),
                    rule.required ? "required" : rule.default_value, rule.help);
  }
  return page;
}

const std::string& Settings::Text(std::string_view section,
                                  std::string_view key) const {
  const std::map<std::string, std::string, std::less<>>::const_iterator it =
      values_.find(JoinKey(section, key));
  assert(it != values_.end());
  return it->second;
}

std::int64_t Settings::Integer(std::string_view section,
                               std::string_view key) const {
  const std::optional<std::int64_t> n = ParseInteger(Text(section, key));
  assert(n);
  return *n;
}

double Settings::Number(std::string_view section, std::string_view key) const {
  const std::optional<double> n = ParseNumber(Text(section, key));
  assert(n);
  return *n;
}

Duration Settings::GetDuration(std::string_view section,
                               std::string_view key) const {
  const std::optional<std::int64_t> micros = ParseMicros(Text(section, key));
  assert(micros);
  return Duration(*micros);
}

Address Settings::GetAddress(std::string_view section,
                             std::string_view key) const {
  return Address::Parse(Text(section, key));
}

std::vector<Address> Settings::GetAddressList(std::string_view section,
                                              std::string_view key) const {
  std::vector<Address> addresses;
  for (const std::string& part : SplitList(Text(section, key))) {
    addresses.push_back(Address::Parse(part));
  }
  return addresses;
}

bool Settings::Boolean(std::string_view section, std::string_view key) const {
  return Text(section, key) == "true";
}

}  // namespace hornbeamcleat
