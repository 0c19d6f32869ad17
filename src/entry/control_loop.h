#ifndef HORNBEAMCLEAT_SRC_ENTRY_CONTROL_LOOP_H_
#define HORNBEAMCLEAT_SRC_ENTRY_CONTROL_LOOP_H_

#include <memory>

#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/scheduler.h"
#include "src/entry/entry_options.h"
#include "src/entry/loop_message.h"
#include "src/net/mailbox.h"

namespace hornbeamcleat {

/// Event loop of the control thread. Owns the scheduler, the link to the
/// control daemon, the polling of targets and the admin server.
class ControlLoop {
 public:
  /// @param inbox mailbox of this loop; all pointers must outlive the loop
  /// @param traffic mailbox of the traffic thread
  /// @throws Error with step "listen"
  static std::unique_ptr<ControlLoop> Make(const EntryOptions& options,
                                           std::unique_ptr<Scheduler> scheduler,
                                           Metrics* metrics,
                                           Mailbox<ControlMessage>* inbox,
                                           Mailbox<TrafficMessage>* traffic);

  virtual ~ControlLoop() = default;

  /// Address of the admin server, with the actual port.
  virtual Address AdminListening() const = 0;

  /// Runs one iteration: waits for at most `max_wait`, then handles events and
  /// timers.
  virtual void RunOnce(Duration max_wait) = 0;

  /// Number of requests queued or in flight. Thread-safe.
  virtual int Open() const = 0;

  /// Whether the loop has processed a drain request. Thread-safe.
  virtual bool Draining() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_CONTROL_LOOP_H_
