#include "src/member/gossip_digest.h"

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

constexpr int kHalf = 32;  // bits
constexpr std::size_t kLastingBuckets = kDigestBuckets / 2;

std::uint64_t HashOf(const MemberRecord& record) {
  return Hash64(
      record.member.name,
      record.member.incarnation ^ (std::uint64_t{record.refutations} << kHalf));
}

std::uint64_t HashOf(const Fact& fact) {
  return Hash64(fact.value,
                Hash64(fact.key, Hash64(fact.origin, fact.version)));
}

}  // namespace

std::size_t GossipDigest::BucketOf(const std::string& member) {
  return Hash64(member) % kLastingBuckets;
}

std::size_t GossipDigest::BucketOf(const Fact& fact) {
  const std::size_t n = Hash64(fact.key, Hash64(fact.origin)) % kLastingBuckets;
  return fact.expires ? kLastingBuckets + n : n;
}

void GossipDigest::Refresh() {
  if (members_generation_ == members_->Generation() &&
      facts_generation_ == facts_->Generation()) {
    return;
  }
  members_generation_ = members_->Generation();
  facts_generation_ = facts_->Generation();
  buckets_.fill(0);
  for (const auto& [name, record] : members_->Records()) {
    if (MemberTable::IsUp(record)) {
      buckets_[BucketOf(name)] ^= HashOf(record);
    }
  }
  for (const auto& [key, fact] : facts_->All()) {
    buckets_[BucketOf(fact)] ^= HashOf(fact);
  }
}

std::uint64_t GossipDigest::Total() {
  Refresh();
  std::uint64_t total = 0;
  for (const std::uint64_t bucket : buckets_) {
    total ^= bucket;
  }
  return total;
}

std::vector<std::uint32_t> GossipDigest::Buckets() {
  Refresh();
  std::vector<std::uint32_t> out;
  out.reserve(buckets_.size());
  for (const std::uint64_t bucket : buckets_) {
    out.push_back(static_cast<std::uint32_t>(bucket));
  }
  return out;
}

}  // namespace hornbeamcleat
