#ifndef HORNBEAMCLEAT_SRC_MEMBER_REPLAY_GUARD_H_
#define HORNBEAMCLEAT_SRC_MEMBER_REPLAY_GUARD_H_

#include <cstdint>
#include <map>
#include <string>

namespace hornbeamcleat {

/// Detects replayed datagrams by the sequence numbers of each sender's
/// incarnation. Accepts datagrams that arrive up to 63 numbers out of order.
class ReplayGuard {
 public:
  /// Whether the datagram is new. Records it if so.
  bool Accept(const std::string& sender, std::uint64_t incarnation,
              std::uint64_t sequence);

  /// Removes the state of a sender.
  void Forget(const std::string& sender) { windows_.erase(sender); }

 private:
  struct Window {
    std::uint64_t incarnation = 0;
    std::uint64_t highest_sequence = 0;
    std::uint64_t received_bits = 0;  // bit n: highest_sequence - n
  };
  std::map<std::string, Window> windows_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_REPLAY_GUARD_H_
