#include "src/serving/quota_ledger.h"

#include <algorithm>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {

void QuotaLedger::SetPeerUse(const std::string& peer, std::uint64_t incarnation,
                             const std::vector<WorkspaceUse>& uses) {
  PeerUse& known = peers_[peer];
  const bool is_first = known.incarnation != incarnation;
  known.incarnation = incarnation;
  for (const WorkspaceUse& use : uses) {
    const auto before = known.admitted.find(use.workspace);
    const double counted = before == known.admitted.end() ? 0 : before->second;
    const auto bucket = by_hash_.find(use.workspace);
    // A total falls when a peer takes back what it had charged.
    if (!is_first && bucket != by_hash_.end()) {
      bucket->second->level -= use.admitted - counted;
    }
    known.admitted[use.workspace] = use.admitted;
  }
}

void QuotaLedger::ForgetPeer(const std::string& peer) { peers_.erase(peer); }

int QuotaLedger::Unheard() const {
  return std::max(0, members_ - 1 - static_cast<int>(peers_.size()));
}

double QuotaLedger::Capacity(const WorkspaceSpec& workspace) const {
  return workspace.burst + (workspace.counts_tokens ? slack_ : 0);
}

QuotaLedger::Bucket& QuotaLedger::Refill(const WorkspaceSpec& workspace,
                                         Time now) {
  const auto [it, is_new] = buckets_.try_emplace(workspace.name);
  Bucket& bucket = it->second;
  if (is_new) {
    by_hash_[Hash32(workspace.name)] = &bucket;
    bucket.level = Capacity(workspace) * kStartShare;
    bucket.updated = now;
  }
  const int members = std::max(members_, 1);
  const double heard =
      static_cast<double>(members - std::min(Unheard(), members - 1)) / members;
  bucket.level +=
      workspace.rate_per_second * heard * ToSeconds(now - bucket.updated);
  bucket.level = std::min(bucket.level, Capacity(workspace) * heard);
  bucket.updated = now;
  return bucket;
}

QuotaVerdict QuotaLedger::Admit(const WorkspaceSpec& workspace, double cost,
                                Time now) {
  QuotaVerdict verdict;
  if (workspace.rate_per_second <= 0) {
    return verdict;
  }
  Bucket& bucket = Refill(workspace, now);
  verdict.unheard_peers = Unheard();
  // A request larger than the burst is admitted from a full bucket.
  const double needed = std::min(cost, Capacity(workspace) * kStartShare);
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
      uses.push_back({Hash32(name), bucket.admitted});
    }
  }
  return uses;
}

}  // namespace hornbeamcleat
