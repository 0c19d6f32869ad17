#include "src/serving/quota_ledger.h"

#include <algorithm>
#include <cmath>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Time over which the use by VMs that are heard late is averaged; they tell of
/// it every second.
constexpr Duration kFarWindow = std::chrono::seconds(1);

/// Part of its share that a VM may give out while those that are heard late
/// seem idle. All may start at the same moment and notice two seconds later;
/// what they give out beyond the quota by then must stay within its tolerance
/// of a tenth over eight seconds.
constexpr double kMostOverShare = 1.25;

/// Part of the bucket that must be there for a request of any size.
constexpr double kMostNeeded = 0.25;

// What is left of a decaying sum after `age`.
double Faded(double sum, Duration age) {
  return sum * std::exp(-ToSeconds(age) / ToSeconds(kFarWindow));
}

}  // namespace

void QuotaLedger::SetPeerUse(const std::string& peer,
                             const PeerMessage& message,
                             const std::vector<WorkspaceUse>& uses, Time now) {
  PeerUse& known = peers_[peer];
  if (known.incarnation != message.incarnation) {
    known = PeerUse();
    known.incarnation = message.incarnation;
  }
  known.is_near = message.is_near;
  for (const WorkspaceUse& use : uses) {
    const auto before = known.admitted.find(use.workspace);
    const bool is_counted = before != known.admitted.end();
    // A total falls when a peer takes back what it had charged.
    const double admitted = use.admitted - (is_counted ? before->second : 0.0);
    known.admitted[use.workspace] = use.admitted;
    known.levels[use.workspace] = use.level;
    const auto bucket = by_hash_.find(use.workspace);
    if (bucket != by_hash_.end() && (is_counted || known.was_whole)) {
      TakeOut(bucket->second, admitted, message.is_near, now);
    }
  }
  known.was_whole = known.was_whole || message.is_whole;
}

void QuotaLedger::TakeOut(Bucket* bucket, double admitted, bool is_near,
                          Time now) {
  if (is_near) {
    bucket->level -= admitted;
    return;
  }
  bucket->far_admitted =
      Faded(bucket->far_admitted, now - bucket->far_updated) + admitted;
  bucket->far_updated = now;
}

void QuotaLedger::ForgetPeer(const std::string& peer) { peers_.erase(peer); }

int QuotaLedger::Heard(bool is_near) const {
  return static_cast<int>(std::count_if(
      peers_.begin(), peers_.end(),
      [is_near](const auto& item) { return item.second.is_near == is_near; }));
}

int QuotaLedger::Unheard() const {
  return std::max(0, members_ - 1 - static_cast<int>(peers_.size()));
}

double QuotaLedger::Share(const ServingWorkspace& workspace,
                          const Bucket& bucket, Time now) const {
  const double members = std::max(members_, 1);
  const int far = std::max(0, members_ - near_);
  const int unheard_near = std::max(0, near_ - 1 - Heard(true));
  const int unheard_far = std::max(0, far - Heard(false));
  double share = 1 - unheard_far / members;
  if (far > 0) {
    const double far_rate =
        Faded(bucket.far_admitted, now - bucket.far_updated) /
        ToSeconds(kFarWindow);
    const double own = near_ / members;
    const double most = std::max(own, std::min(share, own * kMostOverShare));
    share = std::clamp(1 - far_rate / workspace.rate_per_second, own, most);
  }
  return share - unheard_near / members;
}

double QuotaLedger::Capacity(const ServingWorkspace& workspace) const {
  return workspace.burst + (workspace.counts_tokens ? slack_ : 0);
}

// VMs that restart in turn must not each bring tokens of their own.
double QuotaLedger::StartLevel(const ServingWorkspace& workspace) const {
  const std::uint32_t hash = Hash32(workspace.name);
  const double part = near_ / std::max(1.0, static_cast<double>(members_));
  double level = Capacity(workspace) * kStartShare * part;
  bool is_told = false;
  for (const auto& [link, peer] : peers_) {
    const auto told = peer.levels.find(hash);
    if (peer.is_near && told != peer.levels.end()) {
      level = is_told ? std::min(level, told->second) : told->second;
      is_told = true;
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
    bucket.level = StartLevel(workspace);
    bucket.updated = now;
    // VMs that are heard late count as busy until they have shown otherwise.
    bucket.far_admitted = workspace.rate_per_second * ToSeconds(kFarWindow);
    bucket.far_updated = now;
  }
  const double share = Share(workspace, bucket, now);
  bucket.level +=
      workspace.rate_per_second * share * ToSeconds(now - bucket.updated);
  // Bursts can't be shared with those that are heard late.
  const double burst_share =
      std::min(share, near_ / std::max(1.0, static_cast<double>(members_)));
  bucket.level = std::min(bucket.level, Capacity(workspace) * burst_share);
  bucket.updated = now;
  return bucket;
}

QuotaVerdict QuotaLedger::Admit(const ServingWorkspace& workspace, double cost,
                                Time now) {
  QuotaVerdict verdict;
  if (workspace.rate_per_second <= 0) {
    return verdict;
  }
  Bucket& bucket = Refill(workspace, now);
  verdict.unheard_peers = Unheard();
  // A request larger than the burst is admitted from a full bucket.
  const double needed = std::min(cost, Capacity(workspace) * kMostNeeded);
  if (bucket.level < needed) {
    verdict.is_admitted = false;
    verdict.level = bucket.level;
    verdict.retry_after =
        FromSeconds((needed - bucket.level) / workspace.rate_per_second);
    return verdict;
  }
  bucket.level -= cost;
  bucket.admitted += cost;
  verdict.level = bucket.level;
  return verdict;
}

void QuotaLedger::Refund(const std::string& workspace, double cost) {
  const auto it = buckets_.find(workspace);
  if (it != buckets_.end()) {
    it->second.level += cost;
    it->second.admitted -= cost;
  }
}

std::vector<WorkspaceUse> QuotaLedger::TakeUses(bool all) {
  std::vector<WorkspaceUse> uses;
  for (auto& [name, bucket] : buckets_) {
    if (all || bucket.admitted != bucket.told) {
      bucket.told = bucket.admitted;
      uses.push_back(
          {Hash32(name), bucket.admitted, static_cast<float>(bucket.level)});
    }
  }
  return uses;
}

}  // namespace hornbeamcleat
