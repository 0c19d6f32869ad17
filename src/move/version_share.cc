#include "hornbeamcleat/move/version_share.h"

namespace hornbeamcleat {
namespace {

constexpr std::uint64_t kPermille = 1'000;

}  // namespace

bool ChoosesNewVersion(const VersionShare& share, std::uint64_t request_hash) {
  return request_hash % kPermille <
         static_cast<std::uint64_t>(share.share_permille);
}

}  // namespace hornbeamcleat
