#include "src/serving/short_queue.h"

#include <algorithm>
#include <cmath>

#include "hornbeamcleat/serving/serving_config.h"

namespace hornbeamcleat {
namespace {

/// Part (1/N) of the objective that a request may be expected to wait at its
/// target.
constexpr int kObjectiveDivisor = 4;

}  // namespace

int ShortQueue::Length(int slots) const {
  if (work <= Duration(0) || slots <= 0) {
    return 0;
  }
  const double per_work = slots / ToSeconds(work);
  const double needed = std::ceil(per_work * ToSeconds(refill_time));
  const double allowed =
      std::floor(per_work * ToSeconds(objective / kObjectiveDivisor));
  // A queue as long as the slots are many doubles the time at the target.
  return static_cast<int>(
      std::clamp(std::min(needed, allowed), 0.0, static_cast<double>(slots)));
}

Duration ShortQueue::WaitAt(int place, int slots) const {
  return slots <= 0 ? Duration(0) : work * std::max(0, place) / slots;
}

std::map<std::string, Duration> PlainServiceObjectives(
    const ServingConfig& config) {
  std::map<std::string, Duration> objectives;
  for (const ServiceSpec& service : config.services) {
    if (!service.is_engine) {
      objectives[service.name] = Duration::max();
    }
  }
  for (const ServingRoute& route : config.routes) {
    for (const ServiceShare& share : route.shares) {
      const auto it = objectives.find(share.service);
      if (it != objectives.end()) {
        it->second = std::min(it->second, route.objective);
      }
    }
  }
  std::erase_if(objectives, [](const auto& item) {
    return item.second <= Duration(0) || item.second == Duration::max();
  });
  return objectives;
}

}  // namespace hornbeamcleat
