#include "src/serving/quota_limiter.h"

#include <algorithm>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Limits on what a domain may admit when reports of other domains are delayed,
/// as multiples of its share of the rate and of the bucket. In the half second
/// until domains receive each other's reports, they exceed the quota by 0.4 s
/// of the rate, which the tolerance of a tenth over eight seconds covers.
constexpr double kDomainRateFactor = 1.8;
constexpr double kDomainBurstFactor = 1.5;

/// Fraction of the bucket below which the remaining quota counts as low.
constexpr double kLowQuotaShare = 0.6;

/// Fraction of the bucket that suffices to admit a request of any size.
constexpr double kMaxNeededShare = 0.25;

}  // namespace

void QuotaLimiter::SetPeerUsage(const std::string& peer,
                                const PeerMessage& message,
                                const std::vector<WorkspaceUsage>& usages,
                                Time now) {
  const auto [it, is_new] = peers_.try_emplace(peer);
  PeerUsage& known = it->second;
  local_peers_ -= !is_new && known.is_local_domain ? 1 : 0;
  if (known.incarnation != message.incarnation) {
    known = PeerUsage();
    known.incarnation = message.incarnation;
  }
  known.is_local_domain = message.is_local_domain;
  local_peers_ += known.is_local_domain ? 1 : 0;
  for (const WorkspaceUsage& usage : usages) {
    const auto before = known.admitted.find(usage.workspace);
    const bool is_counted = before != known.admitted.end();
    // Negative if the peer has refunded a charge.
    const double admitted =
        usage.admitted - (is_counted ? before->second : 0.0);
    known.admitted[usage.workspace] = usage.admitted;
    known.levels[usage.workspace] = usage.level;
    const auto bucket = by_hash_.find(usage.workspace);
    if (bucket != by_hash_.end() && (is_counted || known.has_full_report)) {
      Refill(now, bucket->second);
      bucket->second->level -= admitted;
      bucket->second->domain_level -= message.is_local_domain ? admitted : 0;
    }
  }
  known.has_full_report = known.has_full_report || message.is_full;
}

void QuotaLimiter::ForgetPeer(const std::string& peer) {
  const auto it = peers_.find(peer);
  if (it != peers_.end()) {
    local_peers_ -= it->second.is_local_domain ? 1 : 0;
    peers_.erase(it);
  }
}

int QuotaLimiter::UnreachablePeers() const {
  return std::max(0, members_ - 1 - static_cast<int>(peers_.size()));
}

int QuotaLimiter::UnreachableLocalPeers() const {
  return std::max(0, local_members_ - 1 - local_peers_);
}

double QuotaLimiter::LocalDomainShare() const {
  return local_members_ / std::max(1.0, static_cast<double>(members_));
}

double QuotaLimiter::Capacity(const ServingWorkspace& workspace) const {
  return workspace.burst + (workspace.counts_tokens ? slack_ : 0);
}

std::optional<double> QuotaLimiter::ReportedLevel(
    const std::string& workspace) const {
  const std::uint32_t hash = Hash32(workspace);
  std::optional<double> level;
  for (const auto& [link, peer] : peers_) {
    const auto reported = peer.levels.find(hash);
    if (peer.is_local_domain && reported != peer.levels.end()) {
      level = std::min(level.value_or(reported->second), reported->second);
    }
  }
  return level;
}

QuotaLimiter::Bucket& QuotaLimiter::FindBucket(
    const ServingWorkspace& workspace, Time now) {
  const auto [it, is_new] = buckets_.try_emplace(workspace.name);
  Bucket& bucket = it->second;
  if (is_new) {
    by_hash_[Hash32(workspace.name)] = &bucket;
    // Starting at the reported level prevents a rolling restart from adding new
    // tokens with each VM.
    const std::optional<double> reported = ReportedLevel(workspace.name);
    bucket.level = reported.value_or(Capacity(workspace) * kStartShare *
                                     LocalDomainShare());
    bucket.domain_level = bucket.level;
    bucket.updated = reported.has_value() ? now : start_.value_or(now);
  }
  bucket.rate_per_second = workspace.rate_per_second;
  bucket.capacity = Capacity(workspace);
  Refill(now, &bucket);
  return bucket;
}

// Also called before peers' admissions are deducted and before the level is
// reported. Otherwise a VM that rarely sees a workspace reports a level that
// lacks the refill of seconds, from which other VMs start.
void QuotaLimiter::Refill(Time now, Bucket* bucket) const {
  const double members = std::max(members_, 1);
  const double rate = bucket->rate_per_second;
  const double capacity = bucket->capacity;
  const double seconds = ToSeconds(now - bucket->updated);
  const double share = 1 - UnreachablePeers() / members;
  bucket->level =
      std::min(bucket->level + rate * share * seconds, capacity * share);
  if (HasRemotePeers()) {
    const double unreachable = UnreachableLocalPeers() / members;
    const double domain_rate =
        std::min(1.0, kDomainRateFactor * LocalDomainShare());
    const double domain_burst =
        std::min(1.0, kDomainBurstFactor * LocalDomainShare());
    bucket->domain_level = std::min(
        bucket->domain_level + rate * (domain_rate - unreachable) * seconds,
        capacity * (domain_burst - unreachable));
  } else {
    bucket->domain_level = bucket->level;
  }
  bucket->updated = now;
  bucket->is_low = bucket->level < kLowQuotaShare * capacity;
}

QuotaDecision QuotaLimiter::Admit(const ServingWorkspace& workspace,
                                  double cost, Time now) {
  QuotaDecision decision;
  if (workspace.rate_per_second <= 0) {
    return decision;
  }
  Bucket& bucket = FindBucket(workspace, now);
  decision.unreachable_peers = UnreachablePeers();
  // A request larger than the burst is admitted once the bucket holds `needed`.
  // The level then goes negative and must refill before the next request.
  const double needed =
      std::min(cost, Capacity(workspace) * kMaxNeededShare *
                         (HasRemotePeers() ? LocalDomainShare() : 1));
  const double level = std::min(bucket.level, bucket.domain_level);
  if (level < needed) {
    decision.is_admitted = false;
    decision.level = level;
    decision.retry_after =
        FromSeconds((needed - level) / workspace.rate_per_second);
    return decision;
  }
  bucket.level -= cost;
  bucket.domain_level -= cost;
  bucket.admitted += cost;
  decision.level = bucket.level;
  return decision;
}

void QuotaLimiter::Refund(const std::string& workspace, double cost) {
  const auto it = buckets_.find(workspace);
  if (it != buckets_.end()) {
    it->second.level += cost;
    it->second.domain_level += cost;
    it->second.admitted -= cost;
  }
}

WorkspaceUsage QuotaLimiter::MakeUsage(const std::string& name, Time now,
                                       Bucket* bucket) {
  Refill(now, bucket);
  return {Hash32(name), bucket->admitted, static_cast<float>(bucket->level)};
}

std::vector<WorkspaceUsage> QuotaLimiter::TakeAllUsage(bool to_remote_domains,
                                                       Time now) {
  std::vector<WorkspaceUsage> usages;
  for (auto& [name, bucket] : buckets_) {
    (to_remote_domains ? bucket.reported_remote : bucket.reported_local) =
        bucket.admitted;
    usages.push_back(MakeUsage(name, now, &bucket));
  }
  return usages;
}

std::vector<WorkspaceUsage> QuotaLimiter::TakeRemoteDomainUsage(Time now) {
  std::vector<WorkspaceUsage> usages;
  for (auto& [name, bucket] : buckets_) {
    if (bucket.admitted != bucket.reported_remote) {
      bucket.reported_remote = bucket.admitted;
      usages.push_back(MakeUsage(name, now, &bucket));
    }
  }
  return usages;
}

std::vector<WorkspaceUsage> QuotaLimiter::TakeLocalDomainUsage(Time now) {
  std::vector<WorkspaceUsage> usages;
  for (auto& [name, bucket] : buckets_) {
    if (bucket.admitted != bucket.reported_local) {
      bucket.reported_local = bucket.admitted;
      usages.push_back(MakeUsage(name, now, &bucket));
    }
  }
  return usages;
}

std::vector<WorkspaceUsage> QuotaLimiter::TakeLowQuotaUsage(Time now) {
  std::vector<WorkspaceUsage> usages;
  for (auto& [name, bucket] : buckets_) {
    if (bucket.is_low && bucket.admitted != bucket.reported_remote) {
      bucket.reported_remote = bucket.admitted;
      usages.push_back(MakeUsage(name, now, &bucket));
    }
  }
  return usages;
}

}  // namespace hornbeamcleat
