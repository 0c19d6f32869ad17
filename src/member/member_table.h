#ifndef HORNBEAMCLEAT_SRC_MEMBER_MEMBER_TABLE_H_
#define HORNBEAMCLEAT_SRC_MEMBER_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/member/gossip_message.h"

namespace hornbeamcleat {

/// What this member knows of all members, itself included.
class MemberTable {
 public:
  /// What a merge changed.
  enum class Merged { kNothing, kChanged, kRefuted };

  MemberTable(const Member& self, const MembershipOptions& options);

  /// Takes what a peer said of a member. If it called this member suspect or
  /// dead, the answer is a refutation.
  Merged Merge(const MemberRecord& record, Time now);

  /// Suspects a member that did not answer.
  /// @return whether that is news
  bool Suspect(const std::string& name, Time now);

  /// Declares dead whom nobody refuted for in time, and forgets the long dead.
  /// @return names whose state changed
  std::vector<std::string> Tick(Time now);

  /// Puts deadlines off after this process was paused.
  void ShiftDeadlines(Duration pause);

  /// Marks this member as left.
  void LeaveSelf();

  const MemberRecord& Self() const { return records_.at(self_); }
  const MemberRecord* Find(const std::string& name) const;
  /// The dead member at `address`, or nullptr.
  const MemberRecord* FindDead(const Address& address) const;

  std::vector<Member> List() const;

  const std::map<std::string, MemberRecord>& Records() const {
    return records_;
  }

  /// Whether the member counts: alive or suspect.
  static bool IsUp(const MemberRecord& record);

  /// Names of the members up in `domain`, this one excluded.
  std::vector<std::string> Peers(const std::string& domain) const;

  /// The members up in `domain` that carry items to other domains.
  std::vector<std::string> Relays(const std::string& domain) const;

  /// Whether this member is such a relay.
  bool IsRelay() const;

  /// Failure domains with a member up, this member's own excluded.
  std::vector<std::string> OtherDomains() const;

  std::uint64_t Generation() const { return generation_; }

 private:
  bool Wins(const MemberRecord& a, const MemberRecord& b) const;
  Merged MergeSelf(const MemberRecord& record);
  void Store(const MemberRecord& record, Time now);

  const std::string self_;
  const Duration suspect_time_;
  const Duration forget_time_;
  std::map<std::string, MemberRecord> records_;
  std::map<std::string, Time> changed_;  // of members that are not alive
  std::uint64_t generation_ = 1;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_MEMBER_TABLE_H_
