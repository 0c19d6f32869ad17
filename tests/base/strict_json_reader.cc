#include "tests/base/strict_json_reader.h"

#include <cmath>
#include <cstdlib>
#include <string>

namespace hornbeamcleat {
namespace {

constexpr unsigned kFirstHighSurrogate = 0xd800;
constexpr unsigned kFirstLowSurrogate = 0xdc00;
constexpr unsigned kLastLowSurrogate = 0xdfff;
constexpr unsigned kLastCodePoint = 0x10ffff;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

class StrictReader {
 public:
  StrictReader(std::string_view text, int max_depth)
      : text_(text), max_depth_(max_depth) {}

  bool Read() {
    SkipSpace();
    if (!ReadValue(0)) {
      return false;
    }
    SkipSpace();
    return at_ == text_.size();
  }

 private:
  char Peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }

  bool Skip(char c) {
    if (at_ < text_.size() && text_[at_] == c) {
      ++at_;
      return true;
    }
    return false;
  }

  bool SkipWord(std::string_view word) {
    if (!text_.substr(at_).starts_with(word)) {
      return false;
    }
    at_ += word.size();
    return true;
  }

  void SkipSpace() {
    while (Skip(' ') || Skip('\t') || Skip('\n') || Skip('\r')) {
    }
  }

  // NOLINTNEXTLINE(misc-no-recursion): the depth is limited
  bool ReadValue(int depth) {
    switch (Peek()) {
      case '{':
        return depth < max_depth_ && ReadList('}', true, depth);
      case '[':
        return depth < max_depth_ && ReadList(']', false, depth);
      case '"':
        return ReadString();
      case 't':
        return SkipWord("true");
      case 'f':
        return SkipWord("false");
      case 'n':
        return SkipWord("null");
      default:
        return ReadNumber();
    }
  }

  // NOLINTNEXTLINE(misc-no-recursion): the depth is limited
  bool ReadList(char end, bool has_names, int depth) {
    ++at_;
    SkipSpace();
    if (Skip(end)) {
      return true;
    }
    do {
      SkipSpace();
      if (has_names) {
        if (!ReadString()) {
          return false;
        }
        SkipSpace();
        if (!Skip(':')) {
          return false;
        }
        SkipSpace();
      }
      if (!ReadValue(depth + 1)) {
        return false;
      }
      SkipSpace();
    } while (Skip(','));
    return Skip(end);
  }

  bool ReadNumber() {
    const std::size_t begin = at_;
    Skip('-');
    if (!Skip('0') && !SkipDigits()) {
      return false;
    }
    if (Skip('.') && !SkipDigits()) {
      return false;
    }
    if (Skip('e') || Skip('E')) {
      if (!Skip('+')) {
        Skip('-');
      }
      if (!SkipDigits()) {
        return false;
      }
    }
    const std::string number(text_.substr(begin, at_ - begin));
    return std::isfinite(std::strtod(number.c_str(), nullptr));
  }

  bool SkipDigits() {
    const std::size_t begin = at_;
    while (IsDigit(Peek())) {
      ++at_;
    }
    return at_ > begin;
  }

  bool ReadString() {
    if (!Skip('"')) {
      return false;
    }
    while (at_ < text_.size()) {
      if (Skip('"')) {
        return true;
      }
      if (!(Peek() == '\\' ? ReadEscape() : ReadCodePoint())) {
        return false;
      }
    }
    return false;
  }

  bool ReadEscape() {
    ++at_;
    if (Peek() != '\0' &&
        std::string_view("\"\\/bfnrt").find(Peek()) != std::string_view::npos) {
      ++at_;
      return true;
    }
    unsigned unit = 0;
    if (!ReadUnit(&unit)) {
      return false;
    }
    if (unit < kFirstHighSurrogate || unit > kLastLowSurrogate) {
      return true;
    }
    return unit < kFirstLowSurrogate && Skip('\\') && ReadUnit(&unit) &&
           unit >= kFirstLowSurrogate && unit <= kLastLowSurrogate;
  }

  // Reads "uXXXX".
  bool ReadUnit(unsigned* unit) {
    constexpr std::size_t kDigits = 4;
    if (!Skip('u') || text_.size() - at_ < kDigits) {
      return false;
    }
    const std::string digits(text_.substr(at_, kDigits));
    if (digits.find_first_not_of("0123456789abcdefABCDEF") !=
        std::string::npos) {
      return false;
    }
    *unit = static_cast<unsigned>(std::strtoul(digits.c_str(), nullptr, 16));
    at_ += kDigits;
    return true;
  }

  // Reads one code point of UTF-8 other than a control character.
  bool ReadCodePoint() {
    constexpr unsigned kContinuationBits = 6;
    const unsigned char first = static_cast<unsigned char>(text_[at_++]);
    if (first < 0x80) {
      return first >= 0x20;
    }
    const int more = first >= 0xf0 ? 3 : first >= 0xe0 ? 2 : 1;
    if (first < 0xc2 || first > 0xf4) {
      return false;
    }
    unsigned code = first & (0x3fU >> more);
    for (int i = 0; i < more; ++i) {
      const unsigned char byte = static_cast<unsigned char>(Peek());
      if ((byte & 0xc0) != 0x80) {
        return false;
      }
      code = (code << kContinuationBits) | (byte & 0x3f);
      ++at_;
    }
    const unsigned min = more == 3 ? 0x10000 : more == 2 ? 0x800 : 0x80;
    return code >= min && code <= kLastCodePoint &&
           (code < kFirstHighSurrogate || code > kLastLowSurrogate);
  }

  const std::string_view text_;
  const int max_depth_;
  std::size_t at_ = 0;
};

}  // namespace

bool IsStrictJson(std::string_view text, int max_depth) {
  return StrictReader(text, max_depth).Read();
}

}  // namespace hornbeamcleat
