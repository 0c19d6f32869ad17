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

/// Hashes of all that a member knows, to find what two members differ in.
/// Members that are not up are left out, so that forgetting them at different
/// instants is no difference. Hashes are kept until a table changes.
class GossipDigest {
 public:
  GossipDigest(const MemberTable* members, const FactTable* facts)
      : members_(members), facts_(facts) {}

  /// Hash of everything.
  std::uint64_t Total();

  /// Hash of each bucket.
  std::vector<std::uint32_t> Buckets();

  /// Bucket of an item. Expiring facts have buckets of their own, so that
  /// their many changes do not hide a difference in the rest.
  static std::size_t BucketOf(const std::string& member);
  static std::size_t BucketOf(const Fact& fact);

 private:
  void Refresh();

  const MemberTable* members_;
  const FactTable* facts_;
  std::uint64_t members_generation_ = 0;
  std::uint64_t facts_generation_ = 0;
  std::array<std::uint64_t, kDigestBuckets> buckets_{};
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_DIGEST_H_
