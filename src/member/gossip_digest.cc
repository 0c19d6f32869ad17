#include "src/member/gossip_digest.h"

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

constexpr int kRefutationShift = 32;  // bits
constexpr std::size_t kPersistentBuckets = kDigestBuckets / 2;

std::uint64_t HashOf(const MemberRecord& record) {
  return Hash64(record.member.name,
                record.member.incarnation ^
                    (std::uint64_t{record.refutations} << kRefutationShift));
}

std::uint64_t HashOf(const Fact& fact) {
  return Hash64(fact.value,
                Hash64(fact.key, Hash64(fact.origin, fact.version)));
}

}  // namespace

std::size_t GossipDigest::BucketOf(const std::string& member) {
  return Hash64(member) % kPersistentBuckets;
}

std::size_t GossipDigest::BucketOf(const Fact& fact) {
  const std::size_t n =
      Hash64(fact.key, Hash64(fact.origin)) % kPersistentBuckets;
  return fact.expires ? kPersistentBuckets + n : n;
}

void GossipDigest::Refresh() {
  if (members_generation_ == members_->Generation() &&
      facts_generation_ == facts_->Generation()) {
    return;
  }
  members_generation_ = members_->Generation();
  facts_generation_ = facts_->Generation();
  bucket_hashes_.fill(0);
  for (const auto& [name, record] : members_->Records()) {
    if (MemberTable::IsUp(record)) {
      bucket_hashes_[BucketOf(name)] ^= HashOf(record);
    }
  }
  for (const auto& [key, fact] : facts_->All()) {
    bucket_hashes_[BucketOf(fact)] ^= HashOf(fact);
  }
}

std::uint64_t GossipDigest::CombinedHash() {
  Refresh();
  std::uint64_t total = 0;
  for (const std::uint64_t bucket : bucket_hashes_) {
    total ^= bucket;
  }
  return total;
}

std::vector<std::uint32_t> GossipDigest::BucketHashes() {
  Refresh();
  std::vector<std::uint32_t> out;
  out.reserve(bucket_hashes_.size());
  for (const std::uint64_t bucket : bucket_hashes_) {
    out.push_back(static_cast<std::uint32_t>(bucket));
  }
  return out;
}

}  // namespace hornbeamcleat
