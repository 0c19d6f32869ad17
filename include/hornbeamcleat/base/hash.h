#ifndef HORNBEAMCLEAT_BASE_HASH_H_
#define HORNBEAMCLEAT_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace hornbeamcleat {

/// 64-bit xxHash of `bytes`; the same on every VM and in every build.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Lower half of Hash64, for short messages about few names.
inline std::uint32_t Hash32(std::string_view bytes) {
  return static_cast<std::uint32_t>(Hash64(bytes));
}

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_HASH_H_
