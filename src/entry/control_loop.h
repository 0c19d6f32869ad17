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

/// Owns the scheduler, the link to the control daemon, the reading of targets'
/// reports and the admin server, on one thread.
class ControlLoop {
 public:
  /// @param inbox mailbox of this loop; must outlive it, as must the others
  /// @param traffic mailbox of the traffic thread
  /// @throws Error with step "listen"
  static std::unique_ptr<ControlLoop> Make(const EntryOptions& options,
                                           std::unique_ptr<Scheduler> scheduler,
                                           Metrics* metrics,
                                           Mailbox<ControlMessage>* inbox,
                                           Mailbox<TrafficMessage>* traffic);

  virtual ~ControlLoop() = default;

  /// Address of the admin server, with the port that was picked.
  virtual Address AdminListening() const = 0;

  /// Waits at most `longest` and does what is due.
  virtual void RunOnce(Duration longest) = 0;

  /// Requests queued or in flight. Thread-safe.
  virtual int Open() const = 0;

  /// Whether a drain was asked for and is known to all. Thread-safe.
  virtual bool Draining() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_CONTROL_LOOP_H_
