#ifndef HORNBEAMCLEAT_SRC_MEMBER_PROBE_SCHEDULE_H_
#define HORNBEAMCLEAT_SRC_MEMBER_PROBE_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "src/member/member_table.h"

namespace hornbeamcleat {

/// Chooses whom to probe, to ask and to push news to.
class ProbeSchedule {
 public:
  ProbeSchedule(const MembershipOptions& options, const MemberTable* members);

  /// Up to `n` of `from`, at random.
  std::vector<std::string> Sample(std::vector<std::string> from, std::size_t n);

  /// Next peer of this member's domain; each once a round, in random order,
  /// which bounds the time to detection. Empty if there is none.
  std::string NextInDomain();

  /// Next member of another domain, mostly a relay; domains take turns.
  std::string NextInOtherDomain();

  /// Members that may reach `target` when this one does not.
  std::vector<std::string> Helpers(const Member& target);

  /// Receivers of news in this member's domain, a relay among them.
  std::vector<std::string> NewsReceivers();

  /// An address behind which nobody is known to be up, of the seeds, the hints
  /// and the dead. So a fresh member joins and a cut heals.
  std::optional<Address> NextToReach();

  void Hint(const std::vector<Address>& addresses) { hints_ = addresses; }

 private:
  const std::string& OwnDomain() const;

  const std::vector<Address> seeds_;
  const MemberTable* members_;
  std::mt19937_64 random_;
  std::vector<Address> hints_;
  std::vector<std::string> round_;    // still to be probed
  std::vector<std::string> domains_;  // still to be probed
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_PROBE_SCHEDULE_H_
