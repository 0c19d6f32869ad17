#include "src/schedule/target_chooser.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {
namespace {

/// Maximum random increase of a score, so that entries select different
/// targets.
constexpr double kMaxJitter = 0.15;
/// Added to the score of targets with the version that the share did not
/// select.
constexpr double kOtherVersionPenalty = 1e6;
/// Score of a target that would miss the deadline.
constexpr double kMissedDeadlineScore = 1e9;
/// Number of answers after which a length estimate is trusted.
constexpr int kMinSamples = 8;
/// Added to the score of a target on which a long answer would miss the
/// deadline.
constexpr double kLateRiskPenalty = 1e4;
/// Share of its time budget that a request may wait for a target without that
/// risk.
constexpr double kMaxWaitShare = 0.1;
/// Age after which a target's speed estimate is replaced by that of its
/// hardware generation, so that a target that was slow is tried again.
constexpr Duration kStaleAfter = std::chrono::seconds(15);
/// Weight of the share of a target's credits in use, so that requests with
/// popular prefixes spread over targets.
constexpr double kLoadWeight = 0.3;

double EstimateSeconds(const SpeedEstimate& speed, double uncached,
                       double parts) {
  return speed.FirstPart() * uncached + parts * speed.Gap();
}

}  // namespace

bool TargetChooser::HasTarget(const RequestState& request) const {
  const TargetTable::Pool& pool = targets_->OfModel(request.route->model);
  return std::any_of(pool.begin(), pool.end(), [&](const TargetState* target) {
    return target->Open() && target->Allows(request.prefers_new_version);
  });
}

bool TargetChooser::AnyAvailable(const ModelState& model, Time now) const {
  const TargetTable::Pool& pool = targets_->OfModel(model.name);
  return std::any_of(pool.begin(), pool.end(), [&](const TargetState* target) {
    return IsAvailable(*target, now);
  });
}

bool TargetChooser::IsAvailable(const TargetState& target, Time now) const {
  const bool unlimited = options_.policy == SchedulePolicy::kRandom ||
                         options_.policy == SchedulePolicy::kLeastReportedLoad;
  return (target.in_flight < target.credits || unlimited) && target.Open() &&
         target.paused_until <= now;
}

TargetState* TargetChooser::Choose(const RequestState& request,
                                   const ModelState& model, Time now) {
  const int cap = versions_->MaxInFlightOnNewVersion(model.name);
  const bool new_version_full =
      cap > 0 && model.in_flight_on_new_version >= cap;
  const bool full_policy = options_.policy == SchedulePolicy::kFull;
  const PrefixIndex::Match match =
      full_policy ? prefixes_->Find(request.spec.prefix_blocks)
                  : PrefixIndex::Match{};
  TargetState* best = nullptr;
  double best_score = 0;
  for (TargetState* target : targets_->OfModel(model.name)) {
    const bool pairs_suspects =
        request.suspect && target->suspects_in_flight > 0;
    if (!IsAvailable(*target, now) ||
        !target->Allows(request.prefers_new_version) ||
        (target->runs_new_version && new_version_full) || pairs_suspects) {
      continue;
    }
    const bool other_version =
        request.prefers_new_version && !target->runs_new_version;
    const double score =
        (full_policy ? Score(*target, request, match.Blocks(target), now)
                     : BaselineScore(*target)) +
        (other_version ? kOtherVersionPenalty : 0);
    if (best == nullptr || score < best_score) {
      best = target;
      best_score = score;
    }
  }
  if (best_score >= kMissedDeadlineScore) {
    return nullptr;
  }
  const bool risky =
      full_policy &&
      std::fmod(best_score, kOtherVersionPenalty) >= kLateRiskPenalty;
  return risky && ShouldWait(request, model, now) ? nullptr : best;
}

bool TargetChooser::ShouldWait(const RequestState& request,
                               const ModelState& model, Time now) {
  const double max_wait = kMaxWaitShare * ToSeconds(request.time_budget);
  const double waited = ToSeconds(now - request.spec.arrival);
  const double long_answer =
      model.pool.best_first_part + request.length.p97 * model.pool.best_gap;
  return waited < max_wait && long_answer < ToSeconds(request.deadline - now);
}

double TargetChooser::Score(const TargetState& target,
                            const RequestState& request,
                            std::size_t cached_blocks, Time now) {
  const std::size_t blocks = request.spec.prefix_blocks.size();
  const double uncached = blocks == 0 ? 1
                                      : 1 - static_cast<double>(cached_blocks) /
                                                static_cast<double>(blocks);
  const double remaining = ToSeconds(request.deadline - now);
  const double own_seconds =
      EstimateSeconds(target.speed, uncached, request.length.median);
  if (own_seconds > remaining && !request.overdue &&
      request.length.samples >= kMinSamples) {
    return kMissedDeadlineScore;
  }
  const double long_answer =
      EstimateSeconds(target.speed, uncached, request.length.p97);
  const bool risky = long_answer > remaining;
  // Only a request that would still be in time tries a slow target again.
  const bool stale = !risky && now > target.speed.Updated() + kStaleAfter;
  const double seconds = stale
                             ? EstimateSeconds(*target.hardware_speed, uncached,
                                               request.length.median)
                             : own_seconds;
  const double load = static_cast<double>(target.in_flight) / target.credits;
  std::uniform_real_distribution<double> jitter(1, 1 + kMaxJitter);
  return seconds * (1 + kLoadWeight * load) * jitter(random_) +
         (risky ? kLateRiskPenalty : 0);
}

double TargetChooser::BaselineScore(const TargetState& target) {
  std::uniform_real_distribution<double> tie(0, 1);
  switch (options_.policy) {
    case SchedulePolicy::kLeastReportedLoad:
      return target.report.running + target.report.waiting + tie(random_);
    case SchedulePolicy::kSingleQueue:
      return target.in_flight + tie(random_);
    case SchedulePolicy::kRandom:
    case SchedulePolicy::kFull:
      break;
  }
  return tie(random_);
}

}  // namespace hornbeamcleat
