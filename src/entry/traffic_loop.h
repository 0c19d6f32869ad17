#ifndef HORNBEAMCLEAT_SRC_ENTRY_TRAFFIC_LOOP_H_
#define HORNBEAMCLEAT_SRC_ENTRY_TRAFFIC_LOOP_H_

#include <cstddef>
#include <memory>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "src/entry/entry_options.h"
#include "src/entry/loop_message.h"
#include "src/net/mailbox.h"

namespace hornbeamcleat {

/// Event loop of the traffic thread. Forwards answers from targets to callers
/// and executes the scheduler's actions. Parts never pass through the control
/// thread.
class TrafficLoop {
 public:
  /// Starts to listen for callers.
  /// @param control mailbox of the control thread; must outlive the loop
  /// @param inbox mailbox of this loop; must outlive it
  /// @throws Error with step "listen"
  static std::unique_ptr<TrafficLoop> Make(const EntryOptions& options,
                                           Mailbox<ControlMessage>* control,
                                           Mailbox<TrafficMessage>* inbox);

  virtual ~TrafficLoop() = default;

  /// Address for callers, with the actual port.
  virtual Address Listening() const = 0;

  /// Runs one iteration: waits for at most `max_wait`, then handles events and
  /// timeouts.
  virtual void RunOnce(Duration max_wait) = 0;

  /// Number of open exchanges with callers. Thread-safe.
  virtual std::size_t Open() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_TRAFFIC_LOOP_H_
