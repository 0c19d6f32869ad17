#ifndef HORNBEAMCLEAT_SRC_ENTRY_ENTRY_PART_H_
#define HORNBEAMCLEAT_SRC_ENTRY_ENTRY_PART_H_

#include <functional>
#include <memory>

#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/supervisor.h"
#include "hornbeamcleat/schedule/scheduler.h"
#include "src/entry/entry_options.h"

namespace hornbeamcleat {

/// Serves callers with one traffic thread and one control thread. Both start
/// and fail together, because neither can work without the other's state.
class EntryPart : public Component {
 public:
  using SchedulerFactory = std::function<std::unique_ptr<Scheduler>()>;

  /// @param metrics must outlive the part
  static std::unique_ptr<EntryPart> Make(const EntryOptions& options,
                                         SchedulerFactory scheduler,
                                         Metrics* metrics);

  /// Listening addresses, with the actual ports; valid after Start.
  virtual Address Listening() const = 0;
  virtual Address AdminListening() const = 0;

  /// Rethrows the exception that ended one of the threads, if any.
  virtual void Check() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ENTRY_PART_H_
