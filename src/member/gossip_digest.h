#ifndef HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_DIGEST_H_
#define HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_DIGEST_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "src/member/fact_table.h"
#include "src/member/gossip_message.h"
#include "src/member/member_table.h"

namespace hornbeamcleat {

/// Hashes of the members and facts known to a member, by which two members find
/// the items in which they differ. Members that aren't up are excluded, since
/// peers remove them at different times. Cached until a table changes.
class GossipDigest {
 public:
  GossipDigest(const MemberTable* members, const FactTable* facts)
      : members_(members), facts_(facts) {}

  /// Hash of all items.
  std::uint64_t CombinedHash();

  /// Hash of each bucket.
  std::vector<std::uint32_t> BucketHashes();

  /// Returns the bucket of an item. Expiring facts have separate buckets, so
  /// that their frequent changes don't mask differences in other items.
  static std::size_t BucketOf(const std::string& member);
  static std::size_t BucketOf(const Fact& fact);

 private:
  void Refresh();

  const MemberTable* members_;
  const FactTable* facts_;
  std::uint64_t members_generation_ = 0;
  std::uint64_t facts_generation_ = 0;
  std::array<std::uint64_t, kDigestBuckets> bucket_hashes_{};
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_DIGEST_H_
