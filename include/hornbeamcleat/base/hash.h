#ifndef HORNBEAMCLEAT_BASE_HASH_H_
#define HORNBEAMCLEAT_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace hornbeamcleat {

/// 64-bit xxHash of `bytes`. The value is the same on all VMs and in all
/// builds.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Low 32 bits of Hash64, for compact messages over small sets of names.
inline std::uint32_t Hash32(std::string_view bytes) {
  return static_cast<std::uint32_t>(Hash64(bytes));
}

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_HASH_H_
