#include "src/serving/quota_ledger.h"

#include <algorithm>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// What a domain may give out while others are heard late, as a multiple of its
/// part of the rate and of the bucket. In the half second until they hear of
/// each other domains give out 0.4 s of the rate too much at this figure, which
/// the tolerance of a tenth over eight seconds covers.
constexpr double kDomainRate = 1.8;
constexpr double kDomainBurst = 1.5;

/// Part of the bucket below which a workspace counts as pressed.
constexpr double kPressedShare = 0.6;

/// Part of the bucket that must be there for a request of any size.
constexpr double kMostNeeded = 0.25;

}  // namespace

void QuotaLedger::SetPeerUsage(const std::string& peer,
                               const PeerMessage& message,
                               const std::vector<WorkspaceUsage>& uses) {
  PeerUse& known = peers_[peer];
  if (known.incarnation != message.incarnation) {
    known = PeerUse();
    known.incarnation = message.incarnation;
  }
  known.is_near = message.is_near;
  for (const WorkspaceUsage& use : uses) {
    const auto before = known.admitted.find(use.workspace);
    const bool is_counted = before != known.admitted.end();
    // A total falls when a peer takes back what it had charged.
    const double admitted = use.admitted - (is_counted ? before->second : 0.0);
    known.admitted[use.workspace] = use.admitted;
    known.levels[use.workspace] = use.level;
    const auto bucket = by_hash_.find(use.workspace);
    if (bucket != by_hash_.end() && (is_counted || known.was_whole)) {
      bucket->second->level -= admitted;
      bucket->second->domain_level -= message.is_near ? admitted : 0;
    }
  }
  known.was_whole = known.was_whole || message.is_whole;
}

void QuotaLedger::ForgetPeer(const std::string& peer) { peers_.erase(peer); }

int QuotaLedger::Unheard() const {
  return std::max(0, members_ - 1 - static_cast<int>(peers_.size()));
}

int QuotaLedger::UnheardNear() const {
  const auto heard =
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& item) { return item.second.is_near; });
  return std::max(0, near_ - 1 - static_cast<int>(heard));
}

double QuotaLedger::DomainPart() const {
  return near_ / std::max(1.0, static_cast<double>(members_));
}

double QuotaLedger::Capacity(const ServingWorkspace& workspace) const {
  return workspace.burst + (workspace.counts_tokens ? slack_ : 0);
}

std::optional<double> QuotaLedger::ToldLevel(
    const std::string& workspace) const {
  const std::uint32_t hash = Hash32(workspace);
  std::optional<double> level;
  for (const auto& [link, peer] : peers_) {
    const auto told = peer.levels.find(hash);
    if (peer.is_near && told != peer.levels.end()) {
      level = std::min(level.value_or(told->second), told->second);
    }
  }
  return level;
}

QuotaLedger::Bucket& QuotaLedger::Refill(const ServingWorkspace& workspace,
                                         Time now) {
  const auto [it, is_new] = buckets_.try_emplace(workspace.name);
  Bucket& bucket = it->second;
  if (is_new) {
    by_hash_[Hash32(workspace.name)] = &bucket;
    // VMs that restart in turn must not each bring tokens of their own.
    const std::optional<double> told = ToldLevel(workspace.name);
    bucket.level =
        told.value_or(Capacity(workspace) * kStartShare * DomainPart());
    bucket.domain_level = bucket.level;
    bucket.updated = told.has_value() ? now : start_.value_or(now);
  }
  const double members = std::max(members_, 1);
  const double rate = workspace.rate_per_second;
  const double capacity = Capacity(workspace);
  const double seconds = ToSeconds(now - bucket.updated);
  const double share = 1 - Unheard() / members;
  bucket.level =
      std::min(bucket.level + rate * share * seconds, capacity * share);
  if (HasFarPeers()) {
    const double unheard = UnheardNear() / members;
    const double domain_rate = std::min(1.0, kDomainRate * DomainPart());
    const double domain_burst = std::min(1.0, kDomainBurst * DomainPart());
    bucket.domain_level =
        std::min(bucket.domain_level + rate * (domain_rate - unheard) * seconds,
                 capacity * (domain_burst - unheard));
  } else {
    bucket.domain_level = bucket.level;
  }
  bucket.updated = now;
  bucket.is_pressed = bucket.level < kPressedShare * capacity;
  return bucket;
}

QuotaVerdict QuotaLedger::Admit(const ServingWorkspace& workspace, double cost,
                                Time now) {
  QuotaVerdict verdict;
  if (workspace.rate_per_second <= 0) {
    return verdict;
  }
  Bucket& bucket = Refill(workspace, now);
  verdict.unreachable_peers = Unheard();
  // A request larger than the burst is admitted from a bucket that holds
  // enough; the debt is paid back before the next.
  const double needed = std::min(cost, Capacity(workspace) * kMostNeeded *
                                           (HasFarPeers() ? DomainPart() : 1));
  const double level = std::min(bucket.level, bucket.domain_level);
  if (level < needed) {
    verdict.is_admitted = false;
    verdict.level = level;
    verdict.retry_after =
        FromSeconds((needed - level) / workspace.rate_per_second);
    return verdict;
  }
  bucket.level -= cost;
  bucket.domain_level -= cost;
  bucket.admitted += cost;
  verdict.level = bucket.level;
  return verdict;
}

void QuotaLedger::Refund(const std::string& workspace, double cost) {
  const auto it = buckets_.find(workspace);
  if (it != buckets_.end()) {
    it->second.level += cost;
    it->second.domain_level += cost;
    it->second.admitted -= cost;
  }
}

WorkspaceUsage QuotaLedger::UseOf(const std::string& name,
                                  const Bucket& bucket) {
  return {Hash32(name), bucket.admitted, static_cast<float>(bucket.level)};
}

std::vector<WorkspaceUsage> QuotaLedger::TakeAllUsage(bool reaches_far) {
  std::vector<WorkspaceUsage> uses;
  for (auto& [name, bucket] : buckets_) {
    bucket.told_near = bucket.admitted;
    if (reaches_far) {
      bucket.told_far = bucket.admitted;
    }
    uses.push_back(UseOf(name, bucket));
  }
  return uses;
}

std::vector<WorkspaceUsage> QuotaLedger::TakeLocalDomainUsage() {
  std::vector<WorkspaceUsage> uses;
  for (auto& [name, bucket] : buckets_) {
    if (bucket.admitted != bucket.told_near) {
      bucket.told_near = bucket.admitted;
      uses.push_back(UseOf(name, bucket));
    }
  }
  return uses;
}

std::vector<WorkspaceUsage> QuotaLedger::TakeLowQuotaUsage() {
  std::vector<WorkspaceUsage> uses;
  for (auto& [name, bucket] : buckets_) {
    if (bucket.is_pressed && bucket.admitted != bucket.told_far) {
      bucket.told_far = bucket.admitted;
      uses.push_back(UseOf(name, bucket));
    }
  }
  return uses;
}

}  // namespace hornbeamcleat
