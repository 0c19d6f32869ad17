#include "src/member/replay_guard.h"

namespace hornbeamcleat {
namespace {

constexpr std::uint64_t kWindowBits = 64;
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
  if (sequence > window.highest_sequence) {
    const std::uint64_t shift = sequence - window.highest_sequence;
    window.received_bits =
        shift >= kWindowBits ? 0 : window.received_bits << shift;
    window.received_bits |= 1;
    window.highest_sequence = sequence;
    return true;
  }
  const std::uint64_t age = window.highest_sequence - sequence;
  const std::uint64_t bit = age >= kWindowBits ? 0 : std::uint64_t{1} << age;
  if (bit == 0 || (window.received_bits & bit) != 0) {
    return false;
  }
  window.received_bits |= bit;
  return true;
}

}  // namespace hornbeamcleat
