#include "src/schedule/target_chooser.h"

#include <algorithm>
#include <cmath>

namespace hornbeamcleat {
namespace {

/// Greatest random part of a score, so that entries spread.
constexpr double kJitter = 0.15;
/// Added to the score of the version that the share did not choose.
constexpr double kOtherVersion = 1e6;
/// Score of a target that would miss the deadline.
constexpr double kTooLate = 1e9;
/// Answers after which a length counts as learned.
constexpr int kLeastSamples = 8;
/// Added to the score of a target on which a long answer would be late.
constexpr double kRisky = 1e4;
/// Part of its time for which a request waits for a target without that risk.
constexpr double kPatience = 0.1;
/// Age of a target's speed after which its generation's stands in, so that a
/// target that was slow is tried again.
constexpr Duration kStaleAfter = std::chrono::seconds(15);
/// Weight of own use of a target's credits, so that hot prefixes spread.
constexpr double kLoadWeight = 0.3;

double Seconds(const SpeedEstimate& speed, double uncached, double parts) {
  return speed.FirstPart() * uncached + parts * speed.Gap();
}

}  // namespace

bool TargetChooser::HasTarget(const RequestState& request) const {
  const TargetTable::Pool& pool = targets_->OfModel(request.route->model);
  return std::any_of(pool.begin(), pool.end(), [&](const TargetState* target) {
    return target->Open() && target->Allows(request.prefers_new);
  });
}

bool TargetChooser::AnyFree(const ModelState& model, Time now) const {
  const TargetTable::Pool& pool = targets_->OfModel(model.name);
  return std::any_of(pool.begin(), pool.end(), [&](const TargetState* target) {
    return Free(*target, now);
  });
}

bool TargetChooser::Free(const TargetState& target, Time now) const {
  const bool unlimited = options_.policy == SchedulePolicy::kRandom ||
                         options_.policy == SchedulePolicy::kLeastReported;
  return (target.in_flight < target.credits || unlimited) && target.Open() &&
         target.paused_until <= now;
}

TargetState* TargetChooser::Choose(const RequestState& request,
                                   const ModelState& model, Time now) {
  const int cap = versions_->MaxInFlightOnNew(model.name);
  const bool new_full = cap > 0 && model.in_flight_on_new >= cap;
  const bool full = options_.policy == SchedulePolicy::kFull;
  const PrefixIndex::Match match =
      full ? prefixes_->Find(request.spec.prefix_blocks) : PrefixIndex::Match{};
  TargetState* best = nullptr;
  double best_score = 0;
  for (TargetState* target : targets_->OfModel(model.name)) {
    const bool suspects_meet =
        request.suspect && target->suspects_in_flight > 0;
    if (!Free(*target, now) || !target->Allows(request.prefers_new) ||
        (target->on_new && new_full) || suspects_meet) {
      continue;
    }
    const bool other = request.prefers_new && !target->on_new;
    const double score =
        (full ? Score(*target, request, match.Blocks(target), now)
              : BaselineScore(*target)) +
        (other ? kOtherVersion : 0);
    if (best == nullptr || score < best_score) {
      best = target;
      best_score = score;
    }
  }
  if (best_score >= kTooLate) {
    return nullptr;
  }
  const bool risky = full && std::fmod(best_score, kOtherVersion) >= kRisky;
  return risky && MayWait(request, model, now) ? nullptr : best;
}

bool TargetChooser::MayWait(const RequestState& request,
                            const ModelState& model, Time now) {
  const double patience = kPatience * ToSeconds(request.allotted);
  const double waited = ToSeconds(now - request.spec.arrival);
  const double long_answer =
      model.pool.best_first_part + request.length.p97 * model.pool.best_gap;
  return waited < patience && long_answer < ToSeconds(request.deadline - now);
}

double TargetChooser::Score(const TargetState& target,
                            const RequestState& request,
                            std::size_t cached_blocks, Time now) {
  const std::size_t blocks = request.spec.prefix_blocks.size();
  const double uncached = blocks == 0 ? 1
                                      : 1 - static_cast<double>(cached_blocks) /
                                                static_cast<double>(blocks);
  const double remaining = ToSeconds(request.deadline - now);
  const double own = Seconds(target.speed, uncached, request.length.median);
  if (own > remaining && !request.overdue &&
      request.length.samples >= kLeastSamples) {
    return kTooLate;
  }
  const double long_answer =
      Seconds(target.speed, uncached, request.length.p97);
  const bool risky = long_answer > remaining;
  // Only work that would still be in time tries a target that was slow again.
  const bool stale = !risky && now > target.speed.Updated() + kStaleAfter;
  const double seconds =
      stale ? Seconds(*target.generation, uncached, request.length.median)
            : own;
  const double load = static_cast<double>(target.in_flight) / target.credits;
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  return seconds * (1 + kLoadWeight * load) * jitter(random_) +
         (risky ? kRisky : 0);
}

double TargetChooser::BaselineScore(const TargetState& target) {
  std::uniform_real_distribution<double> tie(0, 1);
  switch (options_.policy) {
    case SchedulePolicy::kLeastReported:
      return target.report.running + target.report.waiting + tie(random_);
    case SchedulePolicy::kOneQueue:
      return target.in_flight + tie(random_);
    case SchedulePolicy::kRandom:
    case SchedulePolicy::kFull:
      break;
  }
  return tie(random_);
}

}  // namespace hornbeamcleat
