#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_MODEL_STATE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_MODEL_STATE_H_

#include <array>
#include <string>

#include "src/schedule/demand_meter.h"
#include "src/schedule/retry_pacer.h"
#include "src/schedule/target_table.h"
#include "src/schedule/tier_floor.h"
#include "src/schedule/tier_queue.h"

namespace hornbeamcleat {

/// Waiting requests and admission state of one model or plain service.
struct ModelState {
  ModelState(const std::string& model_name, bool tiers, Duration settle,
             Duration hold)
      : name(model_name),
        lanes{TierQueue(tiers), TierQueue(tiers)},
        floor(settle, hold) {}

  std::string name;
  /// Waiting requests for the old version and for the new one.
  std::array<TierQueue, 2> lanes;
  TierFloor floor;
  /// The time constant is long because credits follow this rate, and long
  /// answers make it uneven.
  DemandMeter offered{30};
  DemandMeter admitted{5};
  RetryPacer retry_pacer;
  PoolSummary pool;
  int in_flight = 0;
  int in_flight_on_new_version = 0;

  std::size_t Queued() const { return lanes[0].Size() + lanes[1].Size(); }
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_MODEL_STATE_H_
