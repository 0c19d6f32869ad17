#ifndef HORNBEAMCLEAT_SRC_MEMBER_FACT_TABLE_H_
#define HORNBEAMCLEAT_SRC_MEMBER_FACT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/member/member_table.h"

namespace hornbeamcleat {

/// Facts known to this member. The upper bits of a version hold the incarnation
/// of its origin, so that versions increase across restarts.
class FactTable {
 public:
  using Key = std::pair<std::string, std::string>;  ///< key, origin

  /// Sets a fact of `self`.
  /// @return the fact if it is new or changed
  std::optional<Fact> Set(const Member& self, const std::string& key,
                          const std::string& value, bool expires);

  /// Raises the versions of the facts of `self` to its incarnation.
  void RaiseVersions(const Member& self);

  /// Merges a fact received from a peer.
  /// @return whether it changed the table
  bool Merge(const Fact& fact, const MemberTable& members);

  /// Removes expiring facts whose origin is down or has restarted.
  void DropOrphans(const MemberTable& members);

  std::vector<Fact> List() const;

  const std::map<Key, Fact>& All() const { return facts_; }
  std::uint64_t Generation() const { return generation_; }

 private:
  std::map<Key, Fact> facts_;
  std::uint64_t generation_ = 1;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_FACT_TABLE_H_
