#ifndef HORNBEAMCLEAT_SRC_SERVING_SHORT_QUEUE_H_
#define HORNBEAMCLEAT_SRC_SERVING_SHORT_QUEUE_H_

#include <map>
#include <string>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

struct ServingConfig;

/// Number of requests that plain targets may be given beyond their slots.
///
/// Load pattern: tens of VMs send requests of 60 ms to four targets of six
/// slots. Without a queue at the target, a slot is idle from its release until
/// the news of it and the next request have arrived.
struct ShortQueue {
  /// Time from the release of a slot until the next request arrives, if that is
  /// sent after the news of the release.
  Duration refill_time{0};
  Duration work{0};       ///< measured time of one request in its slot
  Duration objective{0};  ///< of the route; 0: none

  /// Returns the number of requests that keep the slots busy for `refill_time`,
  /// but no more than wait for a quarter of the objective.
  int Length(int slots) const;
  /// Returns the expected wait of the request at this place of the queue, from
  /// 1 on.
  Duration WaitAt(int place, int slots) const;
};

/// Returns the shortest objective of the routes to each service that is not an
/// engine. Services with a route without an objective are omitted.
std::map<std::string, Duration> PlainServiceObjectives(
    const ServingConfig& config);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_SHORT_QUEUE_H_
