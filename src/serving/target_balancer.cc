#include "src/serving/target_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Time from dispatch to the first event of an empty prompt at typical speed.
/// An initial value that the measured slowness corrects.
constexpr double kFirstEventMs = 25;
/// Prompt tokens that an engine of typical speed processes per millisecond. An
/// initial value that the measured slowness corrects.
constexpr double kPromptTokensPerMs = 50;
/// Duration of one decoding step at typical speed.
constexpr double kStepMs = 5;
/// Decoding steps per stream event.
constexpr double kStepsPerEvent = 5;
/// Maximum prompt tokens that an engine processes between two events: a chunk
/// of 1,024 tokens per step, a common default of engines.
constexpr double kChunkTokensPerEvent = 1'024 * kStepsPerEvent;
/// Fraction of the maximum pause that placement may use; the rest allows for
/// jitter.
constexpr double kPauseShare = 0.8;
/// Minimum weight of a new slowness sample in the moving average.
constexpr double kSlownessGain = 0.15;
/// Maximum weight, in samples, of one VM's slowness estimate.
constexpr double kMaxSamples = 20;
/// Slowness samples are clamped to these bounds.
constexpr double kMinSlowness = 0.2;
constexpr double kMaxSlowness = 12;
/// Relative step of the lower quartile estimate.
constexpr double kQuartileGain = 0.1;
/// An answer is late ("several times slower" in the requirements) if its
/// slowness exceeds the target's lower quartile by this factor. A full batch
/// causes less.
constexpr double kLateFactor = 3;
/// Half-life of the decayed counts of answers and failures.
constexpr Duration kAnswerHalfLife = std::chrono::seconds(3);
/// Consecutive failures after which a target is ejected.
constexpr int kConsecutiveFailuresToEject = 3;
/// Duration of the first ejection; doubles with each further failure up to the
/// maximum.
constexpr Duration kBaseEjectionTime = std::chrono::milliseconds(500);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(4);
/// Backoff after a connection failure, which doubles up to kMaxEjectionTime,
/// and after a target rejected a request as full.
constexpr Duration kBaseConnectBackoff = std::chrono::milliseconds(400);
constexpr Duration kFullTargetBackoff = std::chrono::milliseconds(40);
/// Time for which an answer received by this VM overrides ejections by peers.
constexpr Duration kOwnAnswerPrecedence = std::chrono::milliseconds(200);
/// A target without an answer for this multiple of the expected time is ejected
/// until it answers.
constexpr double kSilenceFactor = 6;
constexpr Duration kMinSilence = std::chrono::milliseconds(600);
/// Cost of a failure as a multiple of the expected time.
constexpr double kFailureCost = 12;
/// Samples from which on the time of work counts as measured.
constexpr double kMinWorkSamples = 5;
/// Samples are clamped to kMaxSlowness, so that above this slowness the time of
/// work is not known.
constexpr double kMaxKnownSlowness = 0.9 * kMaxSlowness;
/// Time for the decision and the way of a request to a target.
constexpr Duration kSendTime = std::chrono::milliseconds(2);
/// Reported work time, relative to the mean, from which on a target counts as
/// slowed.
constexpr double kSlowedWorkTime = 1.5;
/// Delay that each running request adds to a new one at the same target.
constexpr double kRunningRequestMs = 5;

bool IsCandidate(std::uint32_t target, std::uint32_t seed, double share) {
  // Fibonacci hashing spreads adjacent seeds.
  constexpr std::uint32_t kSpread = 2'654'435'769U;
  return share >= 1 || ((target ^ seed) * kSpread) <
                           share * std::numeric_limits<std::uint32_t>::max();
}

double ToMs(Duration d) { return static_cast<double>(d.count()) / 1'000.0; }

Duration FromMs(double ms) {
  return Duration(static_cast<std::int64_t>(ms * 1'000.0));
}

}  // namespace

Duration Placement::ExpectedAtUsualSpeed() const {
  return FromMs(ToMs(expected) / work_time);
}

void TargetBalancer::SetTargets(const std::vector<ServingTarget>& targets,
                                Time now) {
  std::map<std::string, Target> next;
  std::vector<TargetInstance> instances;
  instances.reserve(targets.size());
  for (const ServingTarget& spec : targets) {
    const auto known = targets_.find(spec.id);
    Target target;
    // A target restarted under the same ID gets new statistics.
    if (known != targets_.end() &&
        known->second.spec.start_time_ms == spec.start_time_ms) {
      target = known->second;
    } else {
      target.decayed_at = now;
    }
    target.spec = spec;
    target.instance = TargetInstance::Of(spec);
    instances.push_back(target.instance);
    // A store that comes back from a copy may show an earlier entry.
    if (spec.is_draining && spec.start_time_ms > 0) {
      statements_.OnDraining(target.instance, now + suspended_time_);
    }
    target.hash = Hash32(spec.id);
    SetDomainState(&target);
    next.emplace(spec.id, std::move(target));
  }
  targets_ = std::move(next);
  statements_.SetListed(instances, now + suspended_time_);
  limits_.SetListed(instances, now + suspended_time_);
  RebuildPeerTotals();
}

void TargetBalancer::SetEvacuatedDomains(
    const std::set<std::string>& failure_domains, Time now) {
  const std::set<std::string> previous =
      std::exchange(evacuated_domains_, failure_domains);
  for (auto& [id, target] : targets_) {
    SetDomainState(&target);
  }
  for (const std::string& failure_domain : previous) {
    if (!evacuated_domains_.contains(failure_domain)) {
      MarkDomainCold(failure_domain, now);
    }
  }
}

void TargetBalancer::SetRegions(std::map<std::string, std::string> regions) {
  regions_ = std::move(regions);
  for (auto& [id, target] : targets_) {
    SetDomainState(&target);
  }
}

void TargetBalancer::SetDomainState(Target* target) const {
  const std::string& failure_domain = target->spec.failure_domain;
  target->is_evacuated = evacuated_domains_.contains(failure_domain);
  const auto region = regions_.find(failure_domain);
  target->region = region == regions_.end() ? "" : region->second;
}

bool TargetBalancer::IsInRegions(const Target& target,
                                 const AllowedRegions& allowed_regions) {
  return !allowed_regions.has_value() ||
         (!target.region.empty() &&
          std::find(allowed_regions->begin(), allowed_regions->end(),
                    target.region) != allowed_regions->end());
}

bool TargetBalancer::IsEvacuated(const std::string& target) const {
  const auto it = targets_.find(target);
  return it != targets_.end() && it->second.is_evacuated;
}

void TargetBalancer::SetPeerLoad(const std::string& peer,
                                 const std::vector<TargetLoad>& loads, Time now,
                                 bool is_near) {
  PeerLoad& known = peer_loads_[peer];
  for (const TargetLoad& load : known.loads) {
    AddPeerLoad(load, known.is_near, -1);
  }
  known.is_near = is_near;
  known.loads = loads;
  for (const TargetLoad& load : known.loads) {
    AddPeerLoad(load, is_near, 1);
    const auto it = by_hash_.find(load.target);
    if (load.backoff_ms > 0 && it != by_hash_.end()) {
      RecordPeerEjection(peer, load, now, it->second);
    }
    if (load.report.has_value() && it != by_hash_.end()) {
      RecordForwardedReport(peer, *load.report, now, it->second);
    }
  }
}

void TargetBalancer::RecordPeerEjection(const std::string& peer,
                                        const TargetLoad& load, Time now,
                                        Target* target) {
  const Time until = now + std::chrono::milliseconds(load.backoff_ms);
  if (now >= target->first_peer_ejection_until ||
      target->first_ejecting_peer == peer) {
    target->first_ejecting_peer = peer;
    target->first_peer_ejection_until = until;
    return;
  }
  target->peer_ejected_until =
      std::min(until, target->first_peer_ejection_until);
}

std::uint16_t TargetBalancer::StartOf(const Target& target) {
  const std::int64_t ms = target.spec.start_time_ms;
  return static_cast<std::uint16_t>(ms ^ (ms >> 16) ^ (ms >> 32));
}

void TargetBalancer::RecordForwardedReport(const std::string& peer,
                                           const ForwardedLoadReport& report,
                                           Time now, Target* target) const {
  if (report.start == StartOf(*target)) {
    target->reports.OnForwarded(report, Hash32(peer), now + suspended_time_);
  }
}

// This VM's own recent answers override reports from peers, but not what the
// target itself told them.
bool TargetBalancer::IsAvoided(const Target& target, Time now) const {
  return (now < target.peer_ejected_until &&
          now - target.last_answer_at > kOwnAnswerPrecedence) ||
         AccessTo(target, now) == TargetAccess::kAvoided;
}

void TargetBalancer::SetPeerStats(const std::string& peer,
                                  const std::vector<TargetStats>& all_stats) {
  std::vector<TargetStats>& known = peer_stats_[peer];
  for (const TargetStats& stats : known) {
    AddPeerStats(stats, -1);
  }
  known = all_stats;
  for (const TargetStats& stats : known) {
    AddPeerStats(stats, 1);
  }
}

void TargetBalancer::ForgetPeer(const std::string& peer) {
  SetPeerLoad(peer, {}, Time());
  SetPeerStats(peer, {});
  peer_loads_.erase(peer);
  peer_stats_.erase(peer);
}

void TargetBalancer::AddPeerLoad(const TargetLoad& load, bool is_near,
                                 int sign) {
  const auto it = by_hash_.find(load.target);
  if (it != by_hash_.end()) {
    const int running = sign * static_cast<int>(load.running);
    it->second->peer_running += running;
    it->second->remote_running += is_near ? 0 : running;
    it->second->peer_pending_tokens +=
        sign * static_cast<std::int64_t>(load.pending_tokens);
  }
}

void TargetBalancer::AddPeerStats(const TargetStats& stats, float sign) {
  const auto it = by_hash_.find(stats.target);
  if (it == by_hash_.end()) {
    return;
  }
  Target& target = *it->second;
  target.peer_slowness += sign * stats.slowness * stats.slowness_samples;
  target.peer_samples += sign * stats.slowness_samples;
  target.peer_failures += sign * stats.failures;
  target.peer_answers += sign * stats.answers;
}

// Recomputing the totals with each target list keeps rounding errors from
// accumulating.
void TargetBalancer::RebuildPeerTotals() {
  by_hash_.clear();
  by_id_.clear();
  for (auto& [id, target] : targets_) {
    target.peer_running = 0;
    target.remote_running = 0;
    target.peer_pending_tokens = 0;
    target.peer_slowness = 0;
    target.peer_samples = 0;
    target.peer_failures = 0;
    target.peer_answers = 0;
    by_hash_[target.hash] = &target;
    by_id_[target.instance.id] = &target;
  }
  for (const auto& [peer, known] : peer_loads_) {
    for (const TargetLoad& load : known.loads) {
      AddPeerLoad(load, known.is_near, 1);
    }
  }
  for (const auto& [peer, all_stats] : peer_stats_) {
    for (const TargetStats& stats : all_stats) {
      AddPeerStats(stats, 1);
    }
  }
}

double TargetBalancer::Slowness(const Target& target) {
  // One sample of typical speed serves as the prior.
  const double weight = 1 + target.slowness_samples + target.peer_samples;
  return (1 + target.slowness * target.slowness_samples +
          target.peer_slowness) /
         weight;
}

Duration TargetBalancer::ExpectedLatency(const Target& target,
                                         std::uint32_t prompt_tokens) {
  const double pending = static_cast<double>(target.pending_tokens) +
                         static_cast<double>(target.peer_pending_tokens) +
                         prompt_tokens;
  return FromMs(Slowness(target) *
                (kFirstEventMs + pending / kPromptTokensPerMs));
}

bool TargetBalancer::IsEjected(const Target& target, Time now) const {
  if (now < target.ejected_until) {
    return true;
  }
  if (target.unanswered == 0) {
    return false;
  }
  const Duration limit = std::max(
      kMinSilence, FromMs(kSilenceFactor * ToMs(ExpectedLatency(target, 0))));
  return now - target.unanswered_since > limit;
}

double TargetBalancer::FailureShare(const Target& target, Time now) const {
  const double age = ToSeconds(now - target.decayed_at);
  const double decay = std::exp2(-age / ToSeconds(kAnswerHalfLife));
  const double failures = target.failures * decay + target.peer_failures;
  const double answers = target.answers * decay + target.peer_answers;
  // Two successful answers serve as the prior.
  return failures / (answers + 2);
}

int TargetBalancer::LoadOf(const Target& target, Time now) const {
  const int near = target.running + target.peer_running - target.remote_running;
  return near + target.reports.Others(now + suspended_time_)
                    .value_or(target.remote_running);
}

ShortQueue TargetBalancer::ShortQueueOf(const Target& target, Time now) const {
  const auto it = plain_objectives_.find(target.spec.service);
  const double slowness = Slowness(target);
  if (it == plain_objectives_.end() || !target.reports.HasReport() ||
      target.slowness_samples + target.peer_samples < kMinWorkSamples ||
      slowness > kMaxKnownSlowness) {
    return {};
  }
  ShortQueue queue;
  queue.objective = it->second;
  queue.work = FromMs(kFirstEventMs * slowness * WorkTime(target, now));
  queue.refill_time =
      news_delay_ + kSendTime +
      (has_remote_vms_ ? target.reports.Interval() / 2 : Duration(0));
  return queue;
}

Duration TargetBalancer::QueueWait(const Target& target, Time now) const {
  const int place = LoadOf(target, now) - target.spec.slots + 1;
  return place <= 0
             ? Duration(0)
             : ShortQueueOf(target, now).WaitAt(place, target.spec.slots);
}

int TargetBalancer::FreeSlotsOf(const Target& target, Time now) const {
  if (target.is_evacuated) {
    return 0;
  }
  const int queued = ShortQueueOf(target, now).Length(target.spec.slots);
  int free = std::max(0, target.spec.slots + queued - LoadOf(target, now));
  if (IsLimited(target, now)) {
    const Time boot_now = now + suspended_time_;
    free = limits_.OpensAt(target.instance, boot_now) <= boot_now
               ? std::min(1, free)
               : 0;
  }
  free = cold_.FreeSlots(target.instance, target.spec.slots, free,
                         now + suspended_time_);
  switch (AccessTo(target, now)) {
    case TargetAccess::kOpen:
    case TargetAccess::kAvoided:
      return free;
    case TargetAccess::kTrial:
      return target.running == 0 ? std::min(1, free) : 0;
    case TargetAccess::kResting:
    case TargetAccess::kLeaving:
      break;
  }
  return 0;
}

bool TargetBalancer::MeetsPauseLimit(const Target& target,
                                     const PlacementNeed& need) {
  if (need.max_pause <= Duration(0) ||
      target.running + target.peer_running == 0) {
    return true;
  }
  const double pending = static_cast<double>(target.pending_tokens) +
                         static_cast<double>(target.peer_pending_tokens) +
                         need.prompt_tokens;
  const double pause =
      Slowness(target) *
      (kStepsPerEvent * kStepMs +
       std::min(pending, kChunkTokensPerEvent) / kPromptTokensPerMs);
  return pause <= kPauseShare * ToMs(need.max_pause);
}

std::optional<Placement> TargetBalancer::Pick(const PlacementNeed& need,
                                              Time now) const {
  const auto it = version_rules_.find(need.service);
  if (it == version_rules_.end()) {
    return PickSide(need, false, now);
  }
  const VersionRule& rule = it->second;
  if (!ChoosesNewVersion(rule.share, need.seed)) {
    return PickSide(need, false, now);
  }
  const std::optional<Placement> placement = PickSide(need, true, now);
  // The new version never gets more than its share, but may get less.
  return placement.has_value() || rule.is_final ? placement
                                                : PickSide(need, false, now);
}

std::optional<Placement> TargetBalancer::PickSide(const PlacementNeed& need,
                                                  bool prefers_new,
                                                  Time now) const {
  const double share = need.rendezvous_key.has_value() ? 1 : candidate_share_;
  std::optional<Placement> placement =
      PickCandidate(need, {share, prefers_new, false}, now);
  if (!placement.has_value() && share < 1) {
    placement = PickCandidate(need, {1, prefers_new, false}, now);
  }
  // Peers may share a wrong view, so a target that peers avoid is still better
  // than none.
  return placement.has_value()
             ? placement
             : PickCandidate(need, {1, prefers_new, true}, now);
}

bool TargetBalancer::IsAllowed(const Target& target, const PlacementNeed& need,
                               bool prefers_new) const {
  if (!IsInRegions(target, need.allowed_regions)) {
    return false;
  }
  const auto it = version_rules_.find(need.service);
  if (it == version_rules_.end()) {
    return true;
  }
  if ((target.spec.software_version == it->second.share.to_version) !=
      prefers_new) {
    return false;
  }
  const auto first = first_targets_.find(need.service);
  return !prefers_new || first == first_targets_.end() ||
         first->second.contains(target.spec.id);
}

void TargetBalancer::SetVersionRules(std::map<std::string, VersionRule> rules) {
  version_rules_ = std::move(rules);
  first_targets_.clear();
  for (const auto& [service, rule] : version_rules_) {
    if (rule.share.max_targets > 0) {
      first_targets_[service] = FirstTargets(service, rule.share);
    }
  }
}

// All VMs choose the same ones.
std::set<std::string> TargetBalancer::FirstTargets(
    const std::string& service, const VersionShare& share) const {
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service && IsStaying(target) &&
        target.spec.software_version == share.to_version) {
      ranked.emplace_back(Hash64(id, Hash64(share.to_version)), id);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::set<std::string> first;
  for (const auto& [hash, id] : ranked) {
    if (std::ssize(first) < share.max_targets) {
      first.insert(id);
    }
  }
  return first;
}

std::optional<Placement> TargetBalancer::PickCandidate(
    const PlacementNeed& need, const CandidateFilter& filter, Time now) const {
  std::optional<Placement> best;
  double best_cost = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service != need.service || target.spec.is_draining ||
        !IsAllowed(target, need, filter.is_new) ||
        IsCold(target, now) != need.is_for_cold ||
        !IsCandidate(target.hash, need.seed, filter.share) ||
        FreeSlotsOf(target, now) == 0 || IsEjected(target, now) ||
        (!filter.includes_avoided && IsAvoided(target, now)) ||
        std::find(need.tried.begin(), need.tried.end(), id) !=
            need.tried.end()) {
      continue;
    }
    const double work_time = WorkTime(target, now);
    const Duration queue_wait = QueueWait(target, now);
    const Duration expected =
        FromMs(work_time * ToMs(ExpectedLatency(target, need.prompt_tokens))) +
        queue_wait;
    const int running = LoadOf(target, now);
    double cost = ToMs(expected) +
                  kRunningRequestMs * Slowness(target) * work_time * running;
    cost *= 1 + kFailureCost * FailureShare(target, now);
    if (target.spec.failure_domain != need.failure_domain) {
      cost += remote_domain_cost_ms_;
    }
    if (!need.allows_long_pauses && !MeetsPauseLimit(target, need)) {
      continue;
    }
    if (need.rendezvous_key.has_value()) {
      cost = static_cast<double>(Hash64(id, *need.rendezvous_key));
    }
    if (!best.has_value() || cost < best_cost) {
      best = Placement{id, expected, work_time, queue_wait};
      best_cost = cost;
    }
  }
  return best;
}

Duration TargetBalancer::TypicalLatency(const PlacementNeed& need) const {
  Duration sum{0};
  int n = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == need.service && IsStaying(target) &&
        IsInRegions(target, need.allowed_regions)) {
      sum += ExpectedLatency(target, need.prompt_tokens);
      ++n;
    }
  }
  return n == 0 ? sum : sum / n;
}

bool TargetBalancer::AcceptsRequests(const std::string& target,
                                     Time now) const {
  const auto it = targets_.find(target);
  return it != targets_.end() && IsStaying(it->second) &&
         AccessTo(it->second, now) != TargetAccess::kResting;
}

Time TargetBalancer::OpensAt(const Target& target, Time now) const {
  const Time boot_now = now + suspended_time_;
  return std::max({statements_.OpensAt(target.instance, boot_now),
                   limits_.OpensAt(target.instance, boot_now),
                   cold_.OpensAt(target.instance, boot_now)});
}

ServiceOpening TargetBalancer::OpeningOf(
    const std::string& service, Time now,
    const AllowedRegions& allowed_regions) const {
  ServiceOpening opening;
  const Time boot_now = now + suspended_time_;
  Time first = Time::max();
  bool has_targets = false;
  bool has_unlimited = false;
  bool has_closed = false;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service != service || !HasTrafficShare(target)) {
      continue;
    }
    const bool is_in_regions = IsInRegions(target, allowed_regions);
    has_closed = has_closed || target.is_evacuated || !is_in_regions;
    if (!IsStaying(target) || !is_in_regions) {
      continue;
    }
    has_targets = true;
    const Time opens_at = OpensAt(target, now);
    first = std::min(first, opens_at);
    const bool is_resting = AccessTo(target, now) == TargetAccess::kResting;
    if (IsCold(target, now)) {
      opening.is_limited = opening.is_limited || !is_resting;
      opening.own_rate += cold_.OwnRate(target.instance);
      opening.mean_rate += cold_.MeanRate(target.instance);
    } else if (!IsLimited(target, now)) {
      has_unlimited = has_unlimited || !is_resting;
    } else if (!is_resting) {
      opening.is_limited = true;
      opening.open_turns +=
          opens_at <= boot_now && !IsEjected(target, now) ? 1 : 0;
      opening.own_rate += limits_.OwnRate(target.instance);
      opening.mean_rate += limits_.MeanRate(target.instance);
    }
  }
  opening.is_limited = opening.is_limited && !has_unlimited;
  if (!has_targets) {
    opening.is_closed = has_closed;
    opening.at = has_closed ? Time::max() : now;
  } else {
    opening.at =
        first == Time::max() ? first : std::max(now, first - suspended_time_);
  }
  return opening;
}

double TargetBalancer::Throughput(const std::string& service,
                                  Duration hold_time, Time now,
                                  const AllowedRegions& allowed_regions) const {
  double per_second = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service != service || !IsStaying(target) ||
        !HasTrafficShare(target) || !IsInRegions(target, allowed_regions)) {
      continue;
    }
    const double of_slots = target.spec.slots / ToSeconds(hold_time);
    const std::optional<TargetLimits::Limit> limit =
        limits_.Find(target.instance, now + suspended_time_);
    const double of_limit =
        limit.has_value() ? std::min(limit->per_second, of_slots) : of_slots;
    per_second +=
        std::min(of_limit, cold_.RateOf(target.instance, now + suspended_time_)
                               .value_or(of_limit));
  }
  return per_second;
}

void TargetBalancer::SetColdServices(
    const std::map<std::string, ServiceSpec>& services, std::int64_t wall_ms,
    Time now) {
  cold_.SetServices(services);
  if (!targets_.empty()) {
    UpdateColdRecords(wall_ms, now);
  }
}

void TargetBalancer::UpdateColdRecords(std::int64_t wall_ms, Time now) {
  if (!cold_.IsEnabled()) {
    return;
  }
  std::vector<ServingTarget> targets;
  for (const auto& [id, target] : targets_) {
    if (cold_.HasService(target.spec.service)) {
      targets.push_back(target.spec);
    }
  }
  cold_.SetRecords(targets, wall_ms, now + suspended_time_);
}

void TargetBalancer::MarkDomainCold(const std::string& failure_domain,
                                    Time now) {
  for (const auto& [id, target] : targets_) {
    if (target.spec.failure_domain == failure_domain) {
      cold_.OnEvacuationEnded(target.spec, now + suspended_time_);
    }
  }
}

void TargetBalancer::OnColdNotice(const std::string& peer,
                                  const ColdNotice& notice, Time now) {
  const auto it = by_id_.find(notice.target.id);
  const bool has_others =
      it != by_id_.end() && it->second->running + it->second->peer_running > 0;
  cold_.OnNotice(std::max<std::uint64_t>(1, Hash64(peer)), notice, has_others,
                 now + suspended_time_);
}

void TargetBalancer::OnAnswerBytes(const std::string& target, Time sent,
                                   Time now) {
  if (!cold_.IsEnabled()) {
    return;
  }
  const auto it = targets_.find(target);
  if (it != targets_.end()) {
    cold_.OnHeard(it->second.spec, sent, now + suspended_time_);
  }
}

void TargetBalancer::OnAnswerComplete(const std::string& target, Time sent,
                                      Time now) {
  const auto it = targets_.find(target);
  if (it != targets_.end()) {
    cold_.OnAnswered(it->second.spec, sent, now + suspended_time_);
  }
}

bool TargetBalancer::IsCold(const std::string& target, Time now) const {
  const auto it = targets_.find(target);
  return it != targets_.end() && IsCold(it->second, now);
}

bool TargetBalancer::ConfirmCold(const std::string& target, bool is_counted,
                                 Time now) {
  const auto it = targets_.find(target);
  return it == targets_.end() ||
         cold_.ConfirmSend(it->second.instance, is_counted,
                           now + suspended_time_);
}

bool TargetBalancer::HasOpenColdTarget(const std::string& service,
                                       Time now) const {
  if (!cold_.HasService(service)) {
    return false;
  }
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& item) {
    const Target& target = item.second;
    return target.spec.service == service && IsStaying(target) &&
           IsCold(target, now) && FreeSlotsOf(target, now) > 0;
  });
}

bool TargetBalancer::NeedsColdTrial(const std::string& service,
                                    Time now) const {
  if (!cold_.HasService(service)) {
    return false;
  }
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& item) {
    const Target& target = item.second;
    return target.spec.service == service && IsStaying(target) &&
           !IsEjected(target, now) &&
           cold_.NeedsTrial(target.instance, now + suspended_time_);
  });
}

bool TargetBalancer::IsLimited(const std::string& target, Time now) const {
  const auto it = targets_.find(target);
  return it != targets_.end() && IsLimited(it->second, now);
}

bool TargetBalancer::ConfirmLimit(const std::string& target, bool is_counted,
                                  Time now) {
  const auto it = targets_.find(target);
  return it == targets_.end() ||
         limits_.ConfirmSend(it->second.instance, is_counted,
                             now + suspended_time_);
}

const ServingTarget* TargetBalancer::Find(const std::string& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? nullptr : &it->second.spec;
}

std::vector<ServingTarget> TargetBalancer::FindAt(
    const std::string& address) const {
  std::vector<ServingTarget> found;
  for (const auto& [id, target] : targets_) {
    if (target.spec.address == address) {
      found.push_back(target.spec);
    }
  }
  return found;
}

const TargetBalancer::Target* TargetBalancer::FindInstance(
    const TargetInstance& target) const {
  for (const auto& [id, entry] : targets_) {
    if (entry.instance == target) {
      return &entry;
    }
  }
  return nullptr;
}

std::string TargetBalancer::AddressOf(const TargetInstance& target) const {
  const Target* entry = FindInstance(target);
  return entry == nullptr ? "" : entry->spec.address;
}

std::string TargetBalancer::IdOf(const TargetInstance& target) const {
  const Target* entry = FindInstance(target);
  return entry == nullptr ? "" : entry->spec.id;
}

std::string TargetBalancer::DomainOf(const TargetInstance& target) const {
  const Target* entry = FindInstance(target);
  return entry == nullptr ? "" : entry->spec.failure_domain;
}

void TargetBalancer::OnLoadReport(const ServingTarget& target,
                                  const TargetLoadReport& report, Time now) {
  const auto it = targets_.find(target.id);
  if (it != targets_.end() &&
      it->second.spec.start_time_ms == target.start_time_ms) {
    Target& entry = it->second;
    const int known = entry.running + entry.peer_running - entry.remote_running;
    entry.reports.OnReport(report, known, entry.spec.slots,
                           now + suspended_time_);
  }
}

LoadReportCounts TargetBalancer::CountLoadReports(Time now) const {
  LoadReportCounts counts;
  for (const auto& [id, target] : targets_) {
    counts.reporting += target.reports.HasReport() ? 1 : 0;
    counts.slowed += WorkTime(target, now) >= kSlowedWorkTime ? 1 : 0;
  }
  return counts;
}

void TargetBalancer::OnSent(const std::string& target,
                            std::uint32_t prompt_tokens, Time now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return;
  }
  ++changes_;
  ++it->second.running;
  limits_.OnPlaced(it->second.instance, now + suspended_time_);
  cold_.OnPlaced(it->second.instance, now + suspended_time_);
  it->second.pending_tokens += prompt_tokens;
  if (it->second.unanswered++ == 0) {
    it->second.unanswered_since = now;
  }
}

FirstEventStats TargetBalancer::OnFirstEvent(const std::string& target,
                                             std::uint32_t prompt_tokens,
                                             Duration after, Duration expected,
                                             Time now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return {};
  }
  ++changes_;
  Target& entry = it->second;
  entry.pending_tokens -= std::min(entry.pending_tokens, prompt_tokens);
  entry.unanswered = std::max(0, entry.unanswered - 1);
  entry.unanswered_since = now;
  entry.consecutive_connect_failures = 0;
  entry.last_answer_at = now;
  statements_.OnAnswered(entry.instance, now + suspended_time_);
  const double typical = std::max(1.0, ToMs(expected) / Slowness(entry));
  const double sample =
      std::clamp(ToMs(after) / typical, kMinSlowness, kMaxSlowness);
  const double gain =
      std::max(kSlownessGain, 1.0 / (entry.slowness_samples + 1));
  entry.reports.OnMeasured(sample / Slowness(entry), now + suspended_time_);
  const double usual_sample =
      std::clamp(sample / WorkTime(entry, now), kMinSlowness, kMaxSlowness);
  entry.slowness += gain * (usual_sample - entry.slowness);
  entry.slowness_samples = std::min(kMaxSamples, entry.slowness_samples + 1);
  FirstEventStats stats;
  stats.slowness = sample;
  stats.is_late = entry.lower_quartile_slowness > 0 &&
                  sample > kLateFactor * entry.lower_quartile_slowness;
  // Stochastic approximation of the lower quartile.
  entry.lower_quartile_slowness =
      entry.lower_quartile_slowness == 0
          ? sample
          : entry.lower_quartile_slowness *
                (1 +
                 kQuartileGain *
                     (sample < entry.lower_quartile_slowness ? -0.75 : 0.25));
  return stats;
}

void TargetBalancer::OnEnded(const std::string& target,
                             std::uint32_t prompt_tokens, bool had_first_event,
                             TargetOutcome outcome, Time now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return;
  }
  ++changes_;
  Target& entry = it->second;
  entry.running = std::max(0, entry.running - 1);
  if (!had_first_event) {
    entry.pending_tokens -= std::min(entry.pending_tokens, prompt_tokens);
    entry.unanswered = std::max(0, entry.unanswered - 1);
  }
  Decay(&entry, now);
  if (outcome == TargetOutcome::kAnswered ||
      outcome == TargetOutcome::kRejected ||
      outcome == TargetOutcome::kFailed) {
    statements_.OnAnswered(entry.instance, now + suspended_time_);
  }
  if (outcome == TargetOutcome::kLost || outcome == TargetOutcome::kUnreached) {
    cold_.OnLost(entry.spec, entry.running + entry.peer_running > 0,
                 now + suspended_time_);
  }
  switch (outcome) {
    case TargetOutcome::kAnswered:
    case TargetOutcome::kRejected:
      entry.answers += 1;
      entry.consecutive_failures = 0;
      break;
    case TargetOutcome::kFailed:
      entry.answers += 1;
      entry.failures += 1;
      RecordFailure(&entry, now);
      break;
    case TargetOutcome::kBroken:
    case TargetOutcome::kLost:
      entry.answers += 1;
      entry.failures += 1;
      // A target that closes connections immediately appears idle and would
      // attract all requests, so it is avoided after the first failure.
      if (had_first_event) {
        RecordFailure(&entry, now);
      } else {
        BackOff(&entry, now);
      }
      break;
    case TargetOutcome::kNotRun:
      entry.reports.OnRefusedAsFull(now + suspended_time_);
      entry.ejected_until =
          std::max(entry.ejected_until, now + kFullTargetBackoff);
      break;
    case TargetOutcome::kUnreached:
      entry.answers += 1;
      entry.failures += 1;
      BackOff(&entry, now);
      break;
    case TargetOutcome::kAbandoned:
      break;
  }
}

// Concurrent failures count as one.
void TargetBalancer::BackOff(Target* target, Time now) {
  if (now < target->ejected_until) {
    return;
  }
  const int doublings = std::min(4, target->consecutive_connect_failures++);
  target->ejected_until =
      now + std::min(kMaxEjectionTime, kBaseConnectBackoff * (1 << doublings));
  target->connect_backoff_until = target->ejected_until;
}

void TargetBalancer::RecordFailure(Target* target, Time now) {
  ++target->consecutive_failures;
  if (target->consecutive_failures < kConsecutiveFailuresToEject) {
    return;
  }
  const int doublings =
      std::min(4, target->consecutive_failures - kConsecutiveFailuresToEject);
  const Duration backoff =
      std::min(kMaxEjectionTime, kBaseEjectionTime * (1 << doublings));
  target->ejected_until = std::max(target->ejected_until, now + backoff);
}

void TargetBalancer::Decay(Target* target, Time now) {
  const double age = ToSeconds(now - target->decayed_at);
  const double decay = std::exp2(-age / ToSeconds(kAnswerHalfLife));
  target->failures *= decay;
  target->answers *= decay;
  target->decayed_at = now;
}

bool TargetBalancer::HasTrafficShare(const Target& target) const {
  const auto it = version_rules_.find(target.spec.service);
  if (it == version_rules_.end()) {
    return true;
  }
  const VersionRule& rule = it->second;
  return target.spec.software_version == rule.share.to_version
             ? rule.share.share_permille > 0
             : !rule.is_final || rule.share.share_permille == 0;
}

int TargetBalancer::FreeSlots(const std::string& service, Time now,
                              const AllowedRegions& allowed_regions) const {
  int free = 0;
  int free_at_avoided = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service && !target.spec.is_draining &&
        HasTrafficShare(target) && !IsEjected(target, now) &&
        !IsCold(target, now) && IsInRegions(target, allowed_regions)) {
      (IsAvoided(target, now) ? free_at_avoided : free) +=
          FreeSlotsOf(target, now);
    }
  }
  return free > 0 ? free : free_at_avoided;
}

int TargetBalancer::SlotsOf(const std::string& service,
                            const std::string& version, bool is_version) const {
  int slots = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service && IsStaying(target) &&
        (target.spec.software_version == version) == is_version) {
      slots += target.spec.slots;
    }
  }
  return slots;
}

int TargetBalancer::TargetsOf(const std::string& service,
                              const std::string& version) const {
  return static_cast<int>(
      std::count_if(targets_.begin(), targets_.end(), [&](const auto& item) {
        const Target& target = item.second;
        return target.spec.service == service && IsStaying(target) &&
               target.spec.software_version == version;
      }));
}

int TargetBalancer::RunningOf(const std::string& service,
                              const std::string& version,
                              bool is_version) const {
  int running = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service &&
        (target.spec.software_version == version) == is_version) {
      running += target.running + target.peer_running;
    }
  }
  return running;
}

int TargetBalancer::RestingSlotsOf(const std::string& service,
                                   const std::string& version, Time now) const {
  int slots = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service && IsStaying(target) &&
        target.spec.software_version == version &&
        (AccessTo(target, now) == TargetAccess::kResting ||
         IsLimited(target, now) || IsCold(target, now))) {
      slots += target.spec.slots;
    }
  }
  return slots;
}

int TargetBalancer::Running(const std::string& service) const {
  int running = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service) {
      running += target.running + target.peer_running;
    }
  }
  return running;
}

std::vector<TargetLoad> TargetBalancer::LocalLoad(Time now,
                                                  bool has_reports) const {
  std::vector<TargetLoad> loads;
  for (const auto& [id, target] : targets_) {
    const Duration backoff =
        std::max(Duration(0), target.connect_backoff_until - now);
    const std::optional<ForwardedLoadReport> report =
        has_reports
            ? target.reports.ToForward(StartOf(target), now + suspended_time_)
            : std::nullopt;
    if (target.running > 0 || backoff > Duration(0) || report.has_value()) {
      loads.push_back(
          {target.hash, static_cast<std::uint32_t>(target.running),
           target.pending_tokens,
           static_cast<std::uint32_t>(backoff / std::chrono::milliseconds(1)),
           report});
    }
  }
  return loads;
}

std::vector<TargetStats> TargetBalancer::LocalStats(
    const std::string& failure_domain, Time now) const {
  // Statistics with less weight are not reported.
  constexpr float kMinWeight = 0.01F;
  std::vector<TargetStats> all_stats;
  for (const auto& [id, target] : targets_) {
    if (!failure_domain.empty() &&
        target.spec.failure_domain != failure_domain) {
      continue;
    }
    const double age = ToSeconds(now - target.decayed_at);
    const double decay = std::exp2(-age / ToSeconds(kAnswerHalfLife));
    TargetStats stats;
    stats.target = target.hash;
    stats.slowness = static_cast<float>(target.slowness);
    stats.slowness_samples = static_cast<float>(target.slowness_samples);
    stats.failures = static_cast<float>(target.failures * decay);
    stats.answers = static_cast<float>(target.answers * decay);
    if (stats.slowness_samples > 0 || stats.answers > kMinWeight) {
      all_stats.push_back(stats);
    }
  }
  return all_stats;
}

}  // namespace hornbeamcleat
