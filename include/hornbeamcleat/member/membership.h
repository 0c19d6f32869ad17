#ifndef HORNBEAMCLEAT_MEMBER_MEMBERSHIP_H_
#define HORNBEAMCLEAT_MEMBER_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Life of a member as its peers see it.
enum class MemberState {
  kAlive,
  kSuspect,  ///< missed heartbeats; still counted as a member
  kLeft,     ///< announced its own planned stop
  kDead,
};

/// Member of the control daemons' group.
struct Member {
  std::string name;
  Address address;         ///< of gossip datagrams
  std::string caller_url;  ///< where callers reach this VM's entry
  std::string failure_domain;
  std::string region;
  /// Rises with each start of the daemon; below 2^43, such as Unix time in
  /// milliseconds.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  bool operator==(const Member&) const = default;
};

/// Fact that a member tells its peers. For one (origin, key) the greatest
/// version wins everywhere; a fact only changes by a greater version.
struct Fact {
  std::string origin;  ///< name of the member that stated it
  std::string key;     ///< e.g. "withdrawn/llm/v2" or "floor/llm"
  std::uint64_t version = 0;
  std::string value;    ///< opaque bytes
  bool expires = true;  ///< dropped when its origin dies

  bool operator==(const Fact&) const = default;
};

/// Tunables of a membership.
struct MembershipOptions {
  std::uint64_t seed = 1;
  Duration probe_period = std::chrono::milliseconds(500);
  Duration suspect_time = std::chrono::seconds(2);
  Duration forget_time = std::chrono::minutes(5);
  std::size_t max_datagram = 1200;      ///< bytes, signature included
  std::size_t bytes_per_second = 8192;  ///< sent, all peers together
  std::string key;                      ///< shared secret of the datagrams
  std::vector<Address> seeds;           ///< tried until somebody answers

  bool operator==(const MembershipOptions&) const = default;
};

/// Datagram to send.
struct Datagram {
  Address to;
  std::string bytes;

  bool operator==(const Datagram&) const = default;
};

/// Counts of refused datagrams by cause.
struct MembershipCounters {
  std::uint64_t received = 0;
  std::uint64_t malformed = 0;
  std::uint64_t unauthenticated = 0;
  std::uint64_t replayed = 0;
  std::uint64_t bytes_sent = 0;

  bool operator==(const MembershipCounters&) const = default;
};

/// Membership and spreading of facts among control daemons. Has no I/O. Within
/// a failure domain members probe each other; relays chosen by name carry
/// facts between domains. Not thread-safe.
class Membership {
 public:
  /// @throws Error with step "join group" if `self` takes over 400 bytes or
  ///   its incarnation is too great
  static std::unique_ptr<Membership> Make(const Member& self,
                                          const MembershipOptions& options);

  virtual ~Membership() = default;

  /// Takes a datagram; returns answers. Bad ones are counted and dropped.
  virtual std::vector<Datagram> OnDatagram(const Address& from,
                                           std::string_view bytes,
                                           Time now) = 0;

  /// Probes, suspicion, spreading. Call every 100 ms.
  virtual std::vector<Datagram> Tick(Time now) = 0;

  /// States or renews a fact of this member under `key`; unchanged values
  /// cost nothing.
  /// @throws Error with step "set fact" if it takes over half a datagram
  virtual void SetFact(const std::string& key, const std::string& value,
                       bool expires, Time now) = 0;

  /// All live facts, by (key, origin).
  virtual std::vector<Fact> Facts() const = 0;

  /// All members known, this one included, by name.
  virtual std::vector<Member> Members() const = 0;

  /// Rises with each change of Members() or Facts().
  virtual std::uint64_t Generation() const = 0;

  /// Announces the planned stop of this member.
  virtual std::vector<Datagram> Leave(Time now) = 0;

  /// Addresses of VMs that the platform lists: a hint of whom to probe.
  virtual void Hint(const std::vector<Address>& addresses) = 0;

  virtual MembershipCounters Counters() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MEMBER_MEMBERSHIP_H_
