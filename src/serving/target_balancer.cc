#include "src/serving/target_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Time from dispatch to the first event of an empty prompt, at the usual
/// speed; a start value that the learned slowness corrects.
constexpr double kFirstEventMs = 25;
/// Prompt tokens that an engine of usual speed reads in a millisecond; a start
/// value that the learned slowness corrects.
constexpr double kPromptTokensPerMs = 50;
/// Time of one decoding step at the usual speed.
constexpr double kStepMs = 5;
/// Decoding steps behind one event of a stream.
constexpr double kStepsPerEvent = 5;
/// Prompt tokens that an engine reads between two events at the most: a chunk
/// of 1,024 tokens in each step, the common default of engines.
constexpr double kChunkTokensPerEvent = 1'024 * kStepsPerEvent;
/// Part of the allowed pause that placement plans for; the rest is jitter.
constexpr double kPauseShare = 0.8;
/// Weight of a new sample of slowness.
constexpr double kSlownessGain = 0.15;
/// Samples that a target's own estimate counts for at most.
constexpr double kMostSamples = 20;
/// Bounds of the slowness that is believed.
constexpr double kLeastSlowness = 0.2;
constexpr double kMostSlowness = 12;
/// Step of the estimate of a target's quicker answers.
constexpr double kQuartileGain = 0.1;
/// An answer that takes this multiple of a target's quicker ones is late:
/// "several times slower", beyond what a busy batch does.
constexpr double kLateFactor = 3;
/// Recent answers lose half of their weight in this time.
constexpr Duration kAnswerHalfLife = std::chrono::seconds(3);
/// Failures in a row after which a target rests.
constexpr int kFailuresToShun = 3;
/// Rest after the first such row; doubles up to the longest.
constexpr Duration kShunTime = std::chrono::milliseconds(500);
constexpr Duration kLongestShun = std::chrono::seconds(4);
/// Rest of a target that could not be reached, doubling up to the longest, or
/// that turned work away as full.
constexpr Duration kUnreachedRest = std::chrono::milliseconds(400);
constexpr Duration kFullRest = std::chrono::milliseconds(40);
/// An answer to this VM outweighs peers that rest the target for this long.
constexpr Duration kOwnWordHolds = std::chrono::milliseconds(200);
/// A target with no answer for this multiple of the expected time is shunned
/// until it answers.
constexpr double kSilentFactor = 6;
constexpr Duration kLeastSilence = std::chrono::milliseconds(600);
/// Cost of a failure, in expected times, by which its risk is weighed.
constexpr double kFailureCost = 12;
/// Time that each request running beside costs those that come.
constexpr double kNeighbourMs = 5;

bool IsCandidate(std::uint32_t target, std::uint32_t seed, double share) {
  // Fibonacci hashing spreads neighbouring seeds.
  constexpr std::uint32_t kSpread = 2'654'435'769U;
  return share >= 1 || ((target ^ seed) * kSpread) <
                           share * std::numeric_limits<std::uint32_t>::max();
}

double ToMs(Duration d) { return static_cast<double>(d.count()) / 1'000.0; }

Duration FromMs(double ms) {
  return Duration(static_cast<std::int64_t>(ms * 1'000.0));
}

}  // namespace

void TargetBalancer::SetTargets(const std::vector<ServingTarget>& targets,
                                Time now) {
  std::map<std::string, Target> next;
  for (const ServingTarget& spec : targets) {
    const auto known = targets_.find(spec.id);
    Target target;
    // A target reborn under its id knows nothing of before.
    if (known != targets_.end() &&
        known->second.spec.start_time_ms == spec.start_time_ms) {
      target = known->second;
    } else {
      target.decayed_at = now;
    }
    target.spec = spec;
    target.hash = Hash32(spec.id);
    next.emplace(spec.id, std::move(target));
  }
  targets_ = std::move(next);
  SumPeers();
}

void TargetBalancer::SetPeerLoad(const std::string& peer,
                                 const std::vector<TargetLoad>& uses,
                                 Time now) {
  std::vector<TargetLoad>& known = peer_uses_[peer];
  for (const TargetLoad& use : known) {
    AddPeerUse(use, -1);
  }
  known = uses;
  for (const TargetLoad& use : known) {
    AddPeerUse(use, 1);
    const auto it = by_hash_.find(use.target);
    if (use.backoff_ms > 0 && it != by_hash_.end()) {
      TakePeerRest(peer, use, now, it->second);
    }
  }
}

void TargetBalancer::TakePeerRest(const std::string& peer,
                                  const TargetLoad& use, Time now,
                                  Target* target) {
  const Time until = now + std::chrono::milliseconds(use.backoff_ms);
  if (now >= target->first_rest_until || target->first_rester == peer) {
    target->first_rester = peer;
    target->first_rest_until = until;
    return;
  }
  target->peers_rest_until = std::min(until, target->first_rest_until);
}

// What this VM saw itself goes before what peers say.
bool TargetBalancer::IsRestedByPeers(const Target& target, Time now) {
  return now < target.peers_rest_until &&
         now - target.answered_at > kOwnWordHolds;
}

void TargetBalancer::SetPeerStats(const std::string& peer,
                                  const std::vector<TargetStats>& findings) {
  std::vector<TargetStats>& known = peer_findings_[peer];
  for (const TargetStats& finding : known) {
    AddPeerFinding(finding, -1);
  }
  known = findings;
  for (const TargetStats& finding : known) {
    AddPeerFinding(finding, 1);
  }
}

void TargetBalancer::ForgetPeer(const std::string& peer) {
  SetPeerLoad(peer, {}, Time());
  SetPeerStats(peer, {});
  peer_uses_.erase(peer);
  peer_findings_.erase(peer);
}

void TargetBalancer::AddPeerUse(const TargetLoad& use, int sign) {
  const auto it = by_hash_.find(use.target);
  if (it != by_hash_.end()) {
    it->second->peer_running += sign * static_cast<int>(use.running);
    it->second->peer_unread_tokens +=
        sign * static_cast<std::int64_t>(use.pending_tokens);
  }
}

void TargetBalancer::AddPeerFinding(const TargetStats& finding, float sign) {
  const auto it = by_hash_.find(finding.target);
  if (it == by_hash_.end()) {
    return;
  }
  Target& target = *it->second;
  target.peer_slowness += sign * finding.slowness * finding.slowness_samples;
  target.peer_samples += sign * finding.slowness_samples;
  target.peer_failures += sign * finding.failures;
  target.peer_answers += sign * finding.answers;
}

// Sums are made anew with each list of targets, so that errors of rounding
// don't add up.
void TargetBalancer::SumPeers() {
  by_hash_.clear();
  for (auto& [id, target] : targets_) {
    target.peer_running = 0;
    target.peer_unread_tokens = 0;
    target.peer_slowness = 0;
    target.peer_samples = 0;
    target.peer_failures = 0;
    target.peer_answers = 0;
    by_hash_[target.hash] = &target;
  }
  for (const auto& [peer, uses] : peer_uses_) {
    for (const TargetLoad& use : uses) {
      AddPeerUse(use, 1);
    }
  }
  for (const auto& [peer, findings] : peer_findings_) {
    for (const TargetStats& finding : findings) {
      AddPeerFinding(finding, 1);
    }
  }
}

double TargetBalancer::Slowness(const Target& target) {
  // One sample of the usual speed stands in until there are others.
  const double weight = 1 + target.slowness_samples + target.peer_samples;
  return (1 + target.slowness * target.slowness_samples +
          target.peer_slowness) /
         weight;
}

Duration TargetBalancer::Expected(const Target& target,
                                  std::uint32_t prompt_tokens) {
  const double unread = static_cast<double>(target.pending_tokens) +
                        static_cast<double>(target.peer_unread_tokens) +
                        prompt_tokens;
  return FromMs(Slowness(target) *
                (kFirstEventMs + unread / kPromptTokensPerMs));
}

bool TargetBalancer::IsShunned(const Target& target, Time now) const {
  if (now < target.shunned_until) {
    return true;
  }
  if (target.unanswered == 0) {
    return false;
  }
  const Duration limit = std::max(
      kLeastSilence, FromMs(kSilentFactor * ToMs(Expected(target, 0))));
  return now - target.unanswered_since > limit;
}

double TargetBalancer::FailureShare(const Target& target, Time now) const {
  const double age = ToSeconds(now - target.decayed_at);
  const double fade = std::exp2(-age / ToSeconds(kAnswerHalfLife));
  const double failures = target.failures * fade + target.peer_failures;
  const double answers = target.answers * fade + target.peer_answers;
  // Two good answers stand in until there are others.
  return failures / (answers + 2);
}

int TargetBalancer::FreePlacesOf(const Target& target) {
  return std::max(0, target.spec.slots - target.running - target.peer_running);
}

bool TargetBalancer::KeepsPauses(const Target& target,
                                 const PlacementNeed& need) {
  if (need.max_pause <= Duration(0) ||
      target.running + target.peer_running == 0) {
    return true;
  }
  const double unread = static_cast<double>(target.pending_tokens) +
                        static_cast<double>(target.peer_unread_tokens) +
                        need.prompt_tokens;
  const double pause =
      Slowness(target) *
      (kStepsPerEvent * kStepMs +
       std::min(unread, kChunkTokensPerEvent) / kPromptTokensPerMs);
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
  // More than its share never goes to the new version, but less may.
  return placement.has_value() || rule.is_final ? placement
                                                : PickSide(need, false, now);
}

std::optional<Placement> TargetBalancer::PickSide(const PlacementNeed& need,
                                                  bool prefers_new,
                                                  Time now) const {
  std::optional<Placement> placement =
      PickAmong(need, {candidate_share_, prefers_new, false}, now);
  if (!placement.has_value() && candidate_share_ < 1) {
    placement = PickAmong(need, {1, prefers_new, false}, now);
  }
  // Peers may be wrong together; a rested target is better than none.
  return placement.has_value() ? placement
                               : PickAmong(need, {1, prefers_new, true}, now);
}

bool TargetBalancer::IsAllowed(const Target& target, const PlacementNeed& need,
                               bool prefers_new) const {
  const auto it = version_rules_.find(need.service);
  return it == version_rules_.end() ||
         (target.spec.software_version == it->second.share.to_version) ==
             prefers_new;
}

std::optional<Placement> TargetBalancer::PickAmong(const PlacementNeed& need,
                                                   const Look& look,
                                                   Time now) const {
  std::optional<Placement> best;
  double best_cost = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service != need.service || target.spec.is_draining ||
        !IsAllowed(target, need, look.is_new) ||
        !IsCandidate(target.hash, need.seed, look.share) ||
        FreePlacesOf(target) == 0 || IsShunned(target, now) ||
        (!look.takes_rested && IsRestedByPeers(target, now)) ||
        std::find(need.tried.begin(), need.tried.end(), id) !=
            need.tried.end()) {
      continue;
    }
    const Duration expected = Expected(target, need.prompt_tokens);
    const int beside = target.running + target.peer_running;
    double cost = ToMs(expected) + kNeighbourMs * Slowness(target) * beside;
    cost *= 1 + kFailureCost * FailureShare(target, now);
    if (target.spec.failure_domain != need.failure_domain) {
      cost += other_domain_ms_;
    }
    if (!need.accepts_pauses && !KeepsPauses(target, need)) {
      continue;
    }
    if (!best.has_value() || cost < best_cost) {
      best = Placement{id, expected};
      best_cost = cost;
    }
  }
  return best;
}

Duration TargetBalancer::TypicalExpected(const PlacementNeed& need) const {
  Duration sum{0};
  int n = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == need.service && !target.spec.is_draining) {
      sum += Expected(target, need.prompt_tokens);
      ++n;
    }
  }
  return n == 0 ? sum : sum / n;
}

bool TargetBalancer::AcceptsRequests(const std::string& target) const {
  const ServingTarget* spec = Find(target);
  return spec != nullptr && !spec->is_draining;
}

const ServingTarget* TargetBalancer::Find(const std::string& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? nullptr : &it->second.spec;
}

void TargetBalancer::OnSent(const std::string& target,
                            std::uint32_t prompt_tokens, Time now) {
  const auto it = targets_.find(target);
  if (it == targets_.end()) {
    return;
  }
  ++changes_;
  ++it->second.running;
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
  entry.unreached_in_row = 0;
  entry.answered_at = now;
  const double usual = std::max(1.0, ToMs(expected) / Slowness(entry));
  const double sample =
      std::clamp(ToMs(after) / usual, kLeastSlowness, kMostSlowness);
  const double gain =
      std::max(kSlownessGain, 1.0 / (entry.slowness_samples + 1));
  entry.slowness += gain * (sample - entry.slowness);
  entry.slowness_samples = std::min(kMostSamples, entry.slowness_samples + 1);
  FirstEventStats finding;
  finding.slowness = sample;
  finding.is_late =
      entry.quick_slowness > 0 && sample > kLateFactor * entry.quick_slowness;
  // Stochastic approximation of the lower quartile.
  entry.quick_slowness =
      entry.quick_slowness == 0
          ? sample
          : entry.quick_slowness *
                (1 + kQuartileGain *
                         (sample < entry.quick_slowness ? -0.75 : 0.25));
  return finding;
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
  switch (outcome) {
    case TargetOutcome::kAnswered:
      entry.answers += 1;
      entry.failures_in_row = 0;
      break;
    case TargetOutcome::kFailed:
      entry.answers += 1;
      entry.failures += 1;
      Shun(&entry, now);
      break;
    case TargetOutcome::kBroken:
      entry.answers += 1;
      entry.failures += 1;
      // A connection that ends at once takes all that is sent.
      if (had_first_event) {
        Shun(&entry, now);
      } else {
        RestUnreached(&entry, now);
      }
      break;
    case TargetOutcome::kNotRun:
      entry.shunned_until = std::max(entry.shunned_until, now + kFullRest);
      break;
    case TargetOutcome::kUnreached:
      entry.answers += 1;
      entry.failures += 1;
      RestUnreached(&entry, now);
      break;
    case TargetOutcome::kAbandoned:
      break;
  }
}

// Calls that were under way together count once.
void TargetBalancer::RestUnreached(Target* target, Time now) {
  if (now < target->shunned_until) {
    return;
  }
  const int doublings = std::min(4, target->unreached_in_row++);
  target->shunned_until =
      now + std::min(kLongestShun, kUnreachedRest * (1 << doublings));
  target->unreached_until = target->shunned_until;
}

void TargetBalancer::Shun(Target* target, Time now) {
  ++target->failures_in_row;
  if (target->failures_in_row < kFailuresToShun) {
    return;
  }
  const int doublings = std::min(4, target->failures_in_row - kFailuresToShun);
  const Duration rest = std::min(kLongestShun, kShunTime * (1 << doublings));
  target->shunned_until = std::max(target->shunned_until, now + rest);
}

void TargetBalancer::Decay(Target* target, Time now) {
  const double age = ToSeconds(now - target->decayed_at);
  const double fade = std::exp2(-age / ToSeconds(kAnswerHalfLife));
  target->failures *= fade;
  target->answers *= fade;
  target->decayed_at = now;
}

bool TargetBalancer::HasShare(const Target& target) const {
  const auto it = version_rules_.find(target.spec.service);
  if (it == version_rules_.end()) {
    return true;
  }
  const VersionRule& rule = it->second;
  return target.spec.software_version == rule.share.to_version
             ? rule.share.share_permille > 0
             : !rule.is_final || rule.share.share_permille == 0;
}

int TargetBalancer::FreePlaces(const std::string& service, Time now) const {
  int free = 0;
  int free_at_rested = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service && !target.spec.is_draining &&
        HasShare(target) && !IsShunned(target, now)) {
      (IsRestedByPeers(target, now) ? free_at_rested : free) +=
          FreePlacesOf(target);
    }
  }
  return free > 0 ? free : free_at_rested;
}

int TargetBalancer::AllPlaces(const std::string& service) const {
  int slots = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service && !target.spec.is_draining &&
        HasShare(target)) {
      slots += target.spec.slots;
    }
  }
  return slots;
}

int TargetBalancer::SlotsOf(const std::string& service,
                            const std::string& version, bool is_version) const {
  int slots = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service && !target.spec.is_draining &&
        (target.spec.software_version == version) == is_version) {
      slots += target.spec.slots;
    }
  }
  return slots;
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

int TargetBalancer::Running(const std::string& service) const {
  int running = 0;
  for (const auto& [id, target] : targets_) {
    if (target.spec.service == service) {
      running += target.running + target.peer_running;
    }
  }
  return running;
}

std::vector<TargetLoad> TargetBalancer::LocalLoad(Time now) const {
  std::vector<TargetLoad> uses;
  for (const auto& [id, target] : targets_) {
    const Duration rest = std::max(Duration(0), target.unreached_until - now);
    if (target.running > 0 || rest > Duration(0)) {
      uses.push_back(
          {target.hash, static_cast<std::uint32_t>(target.running),
           target.pending_tokens,
           static_cast<std::uint32_t>(rest / std::chrono::milliseconds(1))});
    }
  }
  return uses;
}

std::vector<TargetStats> TargetBalancer::LocalStats(Time now) const {
  // Findings below this weight say nothing.
  constexpr float kLeastWeight = 0.01F;
  std::vector<TargetStats> findings;
  for (const auto& [id, target] : targets_) {
    const double age = ToSeconds(now - target.decayed_at);
    const double fade = std::exp2(-age / ToSeconds(kAnswerHalfLife));
    TargetStats finding;
    finding.target = target.hash;
    finding.slowness = static_cast<float>(target.slowness);
    finding.slowness_samples = static_cast<float>(target.slowness_samples);
    finding.failures = static_cast<float>(target.failures * fade);
    finding.answers = static_cast<float>(target.answers * fade);
    if (finding.slowness_samples > 0 || finding.answers > kLeastWeight) {
      findings.push_back(finding);
    }
  }
  return findings;
}

}  // namespace hornbeamcleat
