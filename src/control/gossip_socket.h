#ifndef HORNBEAMCLEAT_SRC_CONTROL_GOSSIP_SOCKET_H_
#define HORNBEAMCLEAT_SRC_CONTROL_GOSSIP_SOCKET_H_

#include <functional>
#include <memory>
#include <string_view>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/member/membership.h"

namespace hornbeamcleat {

class PollLoop;

/// UDP socket for gossip between control daemons.
class GossipSocket {
 public:
  using Receiver =
      std::function<void(const Address& from, std::string_view bytes)>;

  /// @throws Error with step "listen for gossip"
  static std::unique_ptr<GossipSocket> Make(const Address& listen,
                                            PollLoop* loop, Receiver receiver);

  virtual ~GossipSocket() = default;

  /// Bound address, with the actual port.
  virtual Address ListenAddress() const = 0;

  /// Sends a datagram. Send errors are ignored, like any other packet loss.
  virtual void Send(const Datagram& datagram) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_GOSSIP_SOCKET_H_
