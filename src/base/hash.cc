#include "hornbeamcleat/base/hash.h"

#include <xxhash.h>

namespace hornbeamcleat {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace hornbeamcleat
