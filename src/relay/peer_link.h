#ifndef HORNBEAMCLEAT_SRC_RELAY_PEER_LINK_H_
#define HORNBEAMCLEAT_SRC_RELAY_PEER_LINK_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"

namespace hornbeamcleat {

class Clock;
class PollLoop;

/// Exchanges VM states over UDP. Each datagram contains the complete state, so
/// the next one makes up for a lost one.
class PeerLink {
 public:
  /// @throws Error with step "open link"
  static std::unique_ptr<PeerLink> Open(
      PollLoop* loop, const Clock* clock, const Address& listen,
      std::function<void(const PeerState&)> on_state);

  virtual ~PeerLink() = default;

  virtual void Send(const PeerState& state,
                    const std::vector<std::string>& links) = 0;

  /// Sets the minimum time between two reads of datagrams. Reading several at
  /// once costs less than waking up for each.
  virtual void SetReadInterval(Duration interval) = 0;

  /// Datagrams that could not be decoded or sent.
  virtual int ErrorCount() const = 0;

  /// For how long the message that is being reported had waited to be read, for
  /// example while this process was stopped.
  virtual Duration MessageAge() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_PEER_LINK_H_
