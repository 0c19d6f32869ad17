#ifndef HORNBEAMCLEAT_SRC_MEMBER_REPLAY_GUARD_H_
#define HORNBEAMCLEAT_SRC_MEMBER_REPLAY_GUARD_H_

#include <cstdint>
#include <map>
#include <string>

namespace hornbeamcleat {

/// Recognises datagrams that were received before, by the sequence numbers of
/// each sender's incarnation. Datagrams may arrive out of order by up to 63.
class ReplayGuard {
 public:
  /// Whether the datagram is new; it is then remembered.
  bool Accept(const std::string& sender, std::uint64_t incarnation,
              std::uint64_t sequence);

  /// Forgets a sender.
  void Forget(const std::string& sender) { windows_.erase(sender); }

 private:
  struct Window {
    std::uint64_t incarnation = 0;
    std::uint64_t highest = 0;
    std::uint64_t seen = 0;  // bit n: highest - n was received
  };
  std::map<std::string, Window> windows_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_REPLAY_GUARD_H_
