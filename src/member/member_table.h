#ifndef HORNBEAMCLEAT_SRC_MEMBER_MEMBER_TABLE_H_
#define HORNBEAMCLEAT_SRC_MEMBER_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/member/gossip_message.h"

namespace hornbeamcleat {

/// Records of all known members, including this one.
class MemberTable {
 public:
  /// Effect of a merge.
  enum class MergeResult { kNothing, kChanged, kRefuted };

  MemberTable(const Member& self, const MembershipOptions& options);

  /// Merges a record received from a peer. If it declares this member suspect
  /// or dead, this member's record is changed to refute it.
  MergeResult Merge(const MemberRecord& record, Time now);

  /// Marks a member that did not answer as suspect.
  /// @return whether its state changed
  bool Suspect(const std::string& name, Time now);

  /// Declares members dead that did not refute a suspicion in time, and removes
  /// members that have been down for forget_time.
  /// @return names of members declared dead or removed
  std::vector<std::string> Tick(Time now);

  /// Extends deadlines by `pause` after this process was paused.
  void ShiftDeadlines(Duration pause);

  /// Marks this member as left.
  void MarkSelfLeft();

  const MemberRecord& Self() const { return records_.at(self_); }
  const MemberRecord* Find(const std::string& name) const;
  /// Returns the dead member at `address`, or nullptr.
  const MemberRecord* FindDead(const Address& address) const;

  std::vector<Member> List() const;

  const std::map<std::string, MemberRecord>& Records() const {
    return records_;
  }

  /// Whether the member is alive or suspect.
  static bool IsUp(const MemberRecord& record);

  /// Names of the members that are up in `domain`, excluding this one.
  std::vector<std::string> Peers(const std::string& domain) const;

  /// Names of the members of `domain` that exchange items with other domains.
  std::vector<std::string> Relays(const std::string& domain) const;

  /// Whether this member is a relay of its domain.
  bool IsRelay() const;

  /// Failure domains in which a member is up, excluding this member's own.
  std::vector<std::string> OtherDomains() const;

  std::uint64_t Generation() const { return generation_; }

 private:
  bool Supersedes(const MemberRecord& a, const MemberRecord& b) const;
  MergeResult MergeSelf(const MemberRecord& record);
  void Store(const MemberRecord& record, Time now);

  const std::string self_;
  const Duration suspect_time_;
  const Duration forget_time_;
  std::map<std::string, MemberRecord> records_;
  std::map<std::string, Time> state_changed_;  // of members not alive
  std::uint64_t generation_ = 1;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_MEMBER_TABLE_H_
