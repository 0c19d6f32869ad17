#ifndef HORNBEAMCLEAT_SRC_BASE_CODEC_H_
#define HORNBEAMCLEAT_SRC_BASE_CODEC_H_

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {

static_assert(std::endian::native == std::endian::little,
              "the archives write values in native byte order, which must be "
              "little-endian");

/// cereal archive that appends to a string and encodes sizes as std::uint32_t.
class StringOutputArchive
    : public cereal::OutputArchive<StringOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit StringOutputArchive(std::string* out)
      : OutputArchive(this), out_(out) {}

  void SaveBinary(const void* data, std::size_t n) {
    out_->append(static_cast<const char*>(data), n);
  }

 private:
  std::string* out_;
};

/// cereal archive that reads from a byte range and rejects lengths beyond its
/// end, so that a forged length can't cause a large allocation.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view in)
      : InputArchive(this), in_(in) {}

  /// @throws Error with step "decode"
  void LoadBinary(void* data, std::size_t n) {
    if (n > in_.size()) {
      throw Error("decode", "", "input is truncated");
    }
    std::memcpy(data, in_.data(), n);
    in_.remove_prefix(n);
  }

  /// Checks the element count of a container, assuming at least one byte each.
  /// @throws Error with step "decode"
  void CheckCount(std::size_t n) const {
    if (n > in_.size()) {
      throw Error("decode", "", "length exceeds the remaining input");
    }
  }

  std::size_t Remaining() const { return in_.size(); }

 private:
  std::string_view in_;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& ar, const T& value) {
  ar.SaveBinary(&value, sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& ar, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    ar.LoadBinary(&byte, sizeof(byte));
    value = byte != 0;
  } else {
    ar.LoadBinary(&value, sizeof(value));
  }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& ar,
                               const cereal::BinaryData<T>& data) {
  ar.SaveBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& ar,
                               cereal::BinaryData<T>& data) {
  ar.LoadBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& ar,
                               const cereal::SizeTag<T>& tag) {
  const std::uint32_t n = static_cast<std::uint32_t>(tag.size);
  ar.SaveBinary(&n, sizeof(n));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& ar,
                               cereal::SizeTag<T>& tag) {
  std::uint32_t n = 0;
  ar.LoadBinary(&n, sizeof(n));
  ar.CheckCount(n);
  tag.size = n;
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& ar,
                               const cereal::NameValuePair<T>& pair) {
  ar(pair.value);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& ar,
                               cereal::NameValuePair<T>& pair) {
  ar(pair.value);
}

/// Serializes `value`.
template <typename T>
std::string EncodeBytes(const T& value) {
  std::string out;
  StringOutputArchive archive(&out);
  archive(value);
  return out;
}

/// Deserializes a value from `bytes`, which must not hold anything else.
/// @throws Error with step "decode"
template <typename T>
T DecodeBytes(std::string_view bytes) {
  try {
    T value{};
    BoundedInputArchive archive(bytes);
    archive(value);
    if (archive.Remaining() != 0) {
      throw Error("decode", "", "trailing bytes after the value");
    }
    return value;
  } catch (const cereal::Exception& e) {
    throw Error("decode", "", e.what());
  }
}

}  // namespace hornbeamcleat

CEREAL_REGISTER_ARCHIVE(hornbeamcleat::StringOutputArchive)
CEREAL_REGISTER_ARCHIVE(hornbeamcleat::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(hornbeamcleat::BoundedInputArchive,
                            hornbeamcleat::StringOutputArchive)

#endif  // HORNBEAMCLEAT_SRC_BASE_CODEC_H_
