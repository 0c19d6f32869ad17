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

/// Takes what happens on the link to the control daemon.
class ControlLinkHandler {
 public:
  virtual ~ControlLinkHandler() = default;

  virtual void OnLinkUp() = 0;
  virtual void OnLinkMessage(const LinkMessage& message) = 0;
  /// Messages sent may be lost, and answers to them won't come.
  virtual void OnLinkDown() = 0;
};

/// Link to the control daemon of this VM. Connects again by itself, with
/// back-off. Lives in one loop.
class ControlLink {
 public:
  /// Begins to connect. The arguments must outlive the link.
  static std::unique_ptr<ControlLink> Make(const Address& control,
                                           const Clock* clock, Poller* poller,
                                           TimerService* timers,
                                           ControlLinkHandler* handler);

  virtual ~ControlLink() = default;

  virtual bool Connected() const = 0;

  /// @return false if the link is down; the message is dropped then
  virtual bool Send(const LinkMessage& message) = 0;

  /// Malformed or unexpected frames so far.
  virtual std::uint64_t Malformed() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_CONTROL_LINK_H_
