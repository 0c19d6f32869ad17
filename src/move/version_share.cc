#include "hornbeamcleat/move/version_share.h"

#include <string_view>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

constexpr std::uint64_t kPermille = 1'000;

// Salted with the model and version, so that the choice is independent of those
// of other moves and of the target selection.
std::uint64_t SaltedHash(const VersionShare& share,
                         std::uint64_t request_hash) {
  const std::uint64_t salt =
      Hash64(share.to_version, Hash64(share.model, kPermille));
  const std::string_view bytes(reinterpret_cast<const char*>(&request_hash),
                               sizeof(request_hash));
  return Hash64(bytes, salt);
}

// Scales the upper half of `hash` to 0..999 without modulo bias.
std::uint64_t ScaleToPermille(std::uint64_t hash) {
  return ((hash >> 32U) * kPermille) >> 32U;
}

}  // namespace

bool ChoosesNewVersion(const VersionShare& share, std::uint64_t request_hash) {
  return ScaleToPermille(SaltedHash(share, request_hash)) <
         static_cast<std::uint64_t>(share.share_permille);
}

}  // namespace hornbeamcleat
