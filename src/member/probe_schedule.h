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

/// Ping that has not been acknowledged.
struct Probe {
  std::string member;  ///< name
  Time sent;
  bool indirect_requested = false;
};

/// Ping sent on behalf of another member. Its acknowledgement is forwarded.
struct IndirectProbe {
  Address origin;
  std::uint64_t origin_sequence = 0;  ///< of the other member's own ping
  Time sent;
};

/// Selects members for probes, indirect probes and broadcasts.
class ProbeSchedule {
 public:
  ProbeSchedule(const MembershipOptions& options, const MemberTable* members);

  /// Returns up to `n` elements of `from`, chosen at random.
  std::vector<std::string> Sample(std::vector<std::string> from, std::size_t n);

  /// Returns the next peer in this member's domain to probe, or an empty string
  /// if there is none. Each round visits every peer once in random order, which
  /// bounds the time to detect a failure.
  std::string NextInDomain();

  /// Returns the next member of another domain to probe, usually a relay. Each
  /// round visits every domain once.
  std::string NextInOtherDomain();

  /// Returns members of the domain of `peer` to probe it indirectly.
  std::vector<std::string> IndirectProbers(const Member& peer);

  /// Returns receivers of broadcasts in this member's domain, including a
  /// relay.
  std::vector<std::string> BroadcastReceivers();

  /// Returns a random address at which no member is known to be up, from the
  /// seeds, the hints and the dead members. Contacting it lets a new member
  /// join and reconnects members after a network partition.
  std::optional<Address> NextJoinAddress();

  void SetAddressHints(const std::vector<Address>& addresses) {
    address_hints_ = addresses;
  }

 private:
  const std::string& OwnDomain() const;

  const std::vector<Address> seeds_;
  const MemberTable* members_;
  std::mt19937_64 random_;
  std::vector<Address> address_hints_;
  std::vector<std::string> probe_round_;   // not probed yet in this round
  std::vector<std::string> domain_round_;  // not probed yet in this round
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_PROBE_SCHEDULE_H_
