#include "hornbeamcleat/schedule/scheduler.h"

#include "src/schedule/scheduler_impl.h"

namespace hornbeamcleat {

std::unique_ptr<Scheduler> Scheduler::Make(const SchedulerOptions& options) {
  return std::make_unique<SchedulerImpl>(options);
}

}  // namespace hornbeamcleat
