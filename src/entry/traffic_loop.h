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

/// Passes answers from targets to callers, on one thread, and carries out the
/// scheduler's actions. Parts never go through the control thread.
class TrafficLoop {
 public:
  /// Listens for callers.
  /// @param control mailbox of the control thread; must outlive the loop
  /// @param inbox mailbox of this loop; must outlive it
  /// @throws Error with step "listen"
  static std::unique_ptr<TrafficLoop> Make(const EntryOptions& options,
                                           Mailbox<ControlMessage>* control,
                                           Mailbox<TrafficMessage>* inbox);

  virtual ~TrafficLoop() = default;

  /// Address for callers, with the port that was picked.
  virtual Address Listening() const = 0;

  /// Waits at most `longest` and does what is due.
  virtual void RunOnce(Duration longest) = 0;

  /// Exchanges open with callers. Thread-safe.
  virtual std::size_t Open() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_TRAFFIC_LOOP_H_
