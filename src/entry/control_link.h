#ifndef HORNBEAMCLEAT_SRC_ENTRY_CONTROL_LINK_H_
#define HORNBEAMCLEAT_SRC_ENTRY_CONTROL_LINK_H_

#include <cstdint>
#include <memory>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/link/link_message.h"
#include "src/net/poller.h"

namespace hornbeamcleat {

/// Receives the events of the link to the control daemon.
class ControlLinkHandler {
 public:
  virtual ~ControlLinkHandler() = default;

  virtual void OnLinkUp() = 0;
  virtual void OnLinkMessage(const LinkMessage& message) = 0;
  /// Messages already sent may be lost, and no replies to them will arrive.
  virtual void OnLinkDown() = 0;
};

/// Link to the control daemon of this VM. Reconnects with exponential backoff.
/// Not thread-safe.
class ControlLink {
 public:
  /// Starts to connect. The pointers must outlive the link.
  static std::unique_ptr<ControlLink> Make(const Address& control,
                                           const Clock* clock, Poller* poller,
                                           TimerService* timers,
                                           ControlLinkHandler* handler);

  virtual ~ControlLink() = default;

  virtual bool Connected() const = 0;

  /// @return false if the link is down and the message was dropped
  virtual bool Send(const LinkMessage& message) = 0;

  /// Number of malformed or unexpected frames received.
  virtual std::uint64_t Malformed() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_CONTROL_LINK_H_
