#include "hornbeamcleat/agree/key_date.h"

#include <fmt/format.h>

#include <charconv>
#include <cstdint>
#include <string>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionIndex = 14;
constexpr std::size_t kMillisecondDigits = 13;
constexpr int kHexadecimalBase = 16;
constexpr int kDecimalBase = 10;
constexpr char kScopeSeparator = '/';
constexpr std::size_t kScopeSuffixLength = 17;  // separator and 16 digits

std::optional<WallTime> ParseUnixMilliseconds(std::string_view digits,
                                              int base) {
  std::int64_t ms = 0;
  const char* end = digits.data() + digits.size();
  const std::from_chars_result result =
      std::from_chars(digits.data(), end, ms, base);
  if (result.ec != std::errc() || result.ptr != end || ms < 0) {
    return std::nullopt;
  }
  return WallTime(std::chrono::milliseconds(ms));
}

bool IsUuidV7(std::string_view key) {
  if (key.size() != kUuidLength || key[kUuidVersionIndex] != '7') {
    return false;
  }
  for (std::size_t i = 0; i < key.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash != (key[i] == '-')) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string ScopedKey(std::string_view key, std::string_view workspace,
                      std::string_view application) {
  const std::uint64_t scope = Hash64(application, Hash64(workspace));
  return fmt::format("{}{}{:016x}", key, kScopeSeparator, scope);
}

std::optional<WallTime> KeyDate(std::string_view scoped) {
  std::string_view key = scoped;
  if (key.size() > kScopeSuffixLength &&
      key[key.size() - kScopeSuffixLength] == kScopeSeparator) {
    key.remove_suffix(kScopeSuffixLength);
  }
  if (IsUuidV7(key)) {
    const std::string digits =
        std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    return ParseUnixMilliseconds(digits, kHexadecimalBase);
  }
  if (key.size() > kMillisecondDigits && key[kMillisecondDigits] == '-') {
    return ParseUnixMilliseconds(key.substr(0, kMillisecondDigits),
                                 kDecimalBase);
  }
  return std::nullopt;
}

}  // namespace hornbeamcleat
