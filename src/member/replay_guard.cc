#include "src/member/replay_guard.h"

namespace hornbeamcleat {
namespace {

constexpr std::uint64_t kWindow = 64;
constexpr std::size_t kMaxSenders = 8'192;

}  // namespace

bool ReplayGuard::Accept(const std::string& sender, std::uint64_t incarnation,
                         std::uint64_t sequence) {
  if (!windows_.contains(sender) && windows_.size() >= kMaxSenders) {
    return false;
  }
  Window& window = windows_[sender];
  if (incarnation < window.incarnation) {
    return false;
  }
  if (incarnation > window.incarnation) {
    window = {incarnation, 0, 0};
  }
  if (sequence > window.highest) {
    const std::uint64_t shift = sequence - window.highest;
    window.seen = shift >= kWindow ? 0 : window.seen << shift;
    window.seen |= 1;
    window.highest = sequence;
    return true;
  }
  const std::uint64_t age = window.highest - sequence;
  const std::uint64_t bit = age >= kWindow ? 0 : std::uint64_t{1} << age;
  if (bit == 0 || (window.seen & bit) != 0) {
    return false;
  }
  window.seen |= bit;
  return true;
}

}  // namespace hornbeamcleat
