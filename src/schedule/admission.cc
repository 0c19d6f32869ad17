#include "src/schedule/admission.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

/// Part of the spare time that may go into waiting before ranks close.
constexpr double kShortage = 0.5;
/// Greatest load by higher tiers that is still divided by.
constexpr double kMaxHigherLoad = 0.95;
/// Answers after which a length counts as learned.
constexpr int kLeastSamples = 8;
/// Part of the spare time after which a request is due to start. Short work
/// goes ahead of long, but not for as long as the long could wait.
constexpr double kStartGoal = 0.1;
/// Part of the time that an answer of median length leaves which may be given
/// up so that a long one is still whole in time.
constexpr double kLongAnswerReserve = 0.5;

}  // namespace

void Admission::Predict(RequestState* request, Time now) const {
  const PoolSummary& pool = request->model->pool;
  request->length = lengths_.Predict(*request->route, request->spec.max_tokens);
  request->cost = pool.mean_first_part + request->length.mean * pool.mean_gap;
  request->latest_start = request->deadline;
  if (options_.policy == SchedulePolicy::kFull) {
    // What is only guessed of a length is no ground for a refusal.
    const bool learned = request->length.samples >= kLeastSamples;
    const double parts = learned ? request->length.median : 1;
    request->latest_start -=
        FromSeconds(pool.best_first_part + parts * pool.best_gap);
    ReserveForLongAnswer(request, now);
    request->start_goal = now + FromSeconds(kStartGoal * Slack(*request, now));
    request->hopeless = request->deadline - FromSeconds(pool.idle_first_part +
                                                        parts * pool.idle_gap) <
                        now;
  }
}

void Admission::ReserveForLongAnswer(RequestState* request, Time now) const {
  if (request->length.samples < kLeastSamples || Slack(*request, now) <= 0) {
    return;
  }
  const PoolSummary& pool = request->model->pool;
  const Time for_long =
      request->deadline -
      FromSeconds(pool.mean_first_part + request->length.p97 * pool.mean_gap);
  const Time least = request->latest_start -
                     FromSeconds(kLongAnswerReserve * Slack(*request, now));
  request->latest_start = std::clamp(for_long, least, request->latest_start);
}

double Admission::Wait(const RequestState& request, Time now) const {
  const ModelState& model = *request.model;
  const double ahead = model.lanes[0].SecondsAhead(request) +
                       model.lanes[1].SecondsAhead(request);
  if (ahead <= 0) {
    return 0;
  }
  const double credits = std::max(1, model.pool.credits);
  const double higher =
      model.admitted.RateBelow(request.route->rank, now) / credits;
  return ahead / credits / (1 - std::min(higher, kMaxHigherLoad));
}

bool Admission::RunsShort(const RequestState& request, double wait,
                          Time now) const {
  const double slack = Slack(request, now);
  return options_.policy == SchedulePolicy::kFull && !request.hopeless &&
         (slack < 0 || (wait > 0 && wait > kShortage * slack));
}

std::optional<Reason> Admission::Refusal(const RequestState& request,
                                         double wait, Time now) const {
  const TierFloor& floor = request.model->floor;
  // Not for lack of capacity, so lower tiers need not close for it.
  if (request.hopeless) {
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

Time Admission::WarnAt(const RequestState& request, Time now) const {
  const Duration lead = request.model->floor.TimeToClose(request.route->rank) +
                        options_.floor_settle / 2;
  const Duration half = (request.latest_start - now) / 2;
  return std::max({now, request.latest_start - lead, now + half});
}

double Admission::Slack(const RequestState& request, Time now) const {
  return ToSeconds(request.latest_start - now);
}

}  // namespace hornbeamcleat
