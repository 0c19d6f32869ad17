#include "src/schedule/admission.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

/// Predicted wait, as a share of the slack, above which greater ranks close.
constexpr double kMaxWaitShareOfSlack = 0.5;
/// Upper bound on the load of higher tiers in the wait prediction, which
/// divides by one minus this load.
constexpr double kMaxHigherTierLoad = 0.95;
/// Number of answers after which a length estimate is trusted.
constexpr int kMinSamples = 8;
/// Share of the slack after which a request is due to start. Short requests go
/// ahead of long ones, but not for as long as the long ones could wait.
constexpr double kStartGoalShareOfSlack = 0.1;
/// Maximum share of the slack left by an answer of median length that may be
/// reserved for a long answer to complete in time.
constexpr double kLongAnswerReserveShare = 0.5;

}  // namespace

void Admission::Predict(RequestState* request, Time now) const {
  const PoolSummary& pool = request->model->pool;
  request->length = lengths_.Predict(*request->route, request->spec.max_tokens);
  request->cost = pool.mean_first_part + request->length.mean * pool.mean_gap;
  request->latest_start = request->deadline;
  if (options_.policy == SchedulePolicy::kFull) {
    // A length that is not learned yet does not justify a refusal.
    const bool learned = request->length.samples >= kMinSamples;
    const double parts = learned ? request->length.median : 1;
    request->latest_start -=
        FromSeconds(pool.best_first_part + parts * pool.best_gap);
    ReserveForLongAnswer(request, now);
    request->start_goal =
        now + FromSeconds(kStartGoalShareOfSlack * Slack(*request, now));
    request->infeasible =
        request->deadline -
            FromSeconds(pool.idle_first_part + parts * pool.idle_gap) <
        now;
  }
}

void Admission::ReserveForLongAnswer(RequestState* request, Time now) const {
  if (request->length.samples < kMinSamples || Slack(*request, now) <= 0) {
    return;
  }
  const PoolSummary& pool = request->model->pool;
  const Time for_long =
      request->deadline -
      FromSeconds(pool.mean_first_part + request->length.p97 * pool.mean_gap);
  const Time least =
      request->latest_start -
      FromSeconds(kLongAnswerReserveShare * Slack(*request, now));
  request->latest_start = std::clamp(for_long, least, request->latest_start);
}

double Admission::PredictWait(const RequestState& request, Time now) const {
  const ModelState& model = *request.model;
  const double ahead = model.lanes[0].SecondsAhead(request) +
                       model.lanes[1].SecondsAhead(request);
  if (ahead <= 0) {
    return 0;
  }
  const double credits = std::max(1, model.pool.credits);
  const double higher =
      model.admitted.RateBelow(request.route->rank, now) / credits;
  return ahead / credits / (1 - std::min(higher, kMaxHigherTierLoad));
}

bool Admission::IsShortOfCapacity(const RequestState& request, double wait,
                                  Time now) const {
  const double slack = Slack(request, now);
  return options_.policy == SchedulePolicy::kFull && !request.infeasible &&
         (slack < 0 || (wait > 0 && wait > kMaxWaitShareOfSlack * slack));
}

std::optional<Reason> Admission::RefusalReason(const RequestState& request,
                                               double wait, Time now) const {
  const TierFloor& floor = request.model->floor;
  // Not a lack of capacity, so lower tiers need not close first.
  if (request.infeasible) {
    return Reason::kDeadline;
  }
  if (floor.Closed(request.route->rank)) {
    return Reason::kTierClosed;
  }
  if (wait > Slack(request, now) && floor.MayShed(request.route->rank, now)) {
    return Reason::kDeadline;
  }
  return std::nullopt;
}

Time Admission::ShortageCheckTime(const RequestState& request, Time now) const {
  const Duration lead = request.model->floor.TimeToClose(request.route->rank) +
                        options_.floor_settle / 2;
  const Duration half = (request.latest_start - now) / 2;
  return std::max({now, request.latest_start - lead, now + half});
}

double Admission::Slack(const RequestState& request, Time now) const {
  return ToSeconds(request.latest_start - now);
}

}  // namespace hornbeamcleat
