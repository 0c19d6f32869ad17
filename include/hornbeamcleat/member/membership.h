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

/// State of a member as seen by its peers.
enum class MemberState {
  kAlive,
  kSuspect,  ///< did not answer probes; still counted as a member
  kLeft,     ///< announced its planned shutdown
  kDead,
};

/// Member of the group of control daemons.
struct Member {
  std::string name;
  Address address;         ///< for gossip datagrams
  std::string caller_url;  ///< URL at which callers reach this VM's entry
  std::string failure_domain;
  std::string region;
  /// Increases with each start of the daemon, e.g. Unix time in milliseconds.
  /// Must be below 2^43.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  bool operator==(const Member&) const = default;
};

/// Versioned key-value entry that a member publishes to its peers. For each
/// (origin, key), every member keeps the entry with the greatest version.
struct Fact {
  std::string origin;  ///< name of the member that published it
  std::string key;     ///< e.g. "withdrawn/llm/v2" or "floor/llm"
  std::uint64_t version = 0;
  std::string value;    ///< opaque bytes
  bool expires = true;  ///< removed when its origin goes down

  bool operator==(const Fact&) const = default;
};

/// Settings of a membership.
struct MembershipOptions {
  std::uint64_t seed = 1;
  Duration probe_period = std::chrono::milliseconds(500);
  Duration suspect_time = std::chrono::seconds(2);
  Duration forget_time = std::chrono::minutes(5);
  std::size_t max_datagram = 1200;      ///< bytes, signature included
  std::size_t bytes_per_second = 8192;  ///< sent to all peers together
  std::string key;                      ///< shared secret for signing
  std::vector<Address> seeds;           ///< contacted until one answers

  bool operator==(const MembershipOptions&) const = default;
};

/// Datagram to send.
struct Datagram {
  Address to;
  std::string bytes;

  bool operator==(const Datagram&) const = default;
};

/// Counters of datagrams received, rejected by cause, and bytes sent.
struct MembershipCounters {
  std::uint64_t received = 0;
  std::uint64_t malformed = 0;
  std::uint64_t unauthenticated = 0;
  std::uint64_t replayed = 0;
  std::uint64_t bytes_sent = 0;

  bool operator==(const MembershipCounters&) const = default;
};

/// Gossip membership and dissemination of facts among control daemons. Members
/// of a failure domain probe each other; relays, chosen by a hash of their
/// names, exchange facts between domains. Performs no I/O; not thread-safe.
class Membership {
 public:
  /// @throws Error with step "join group" if `self` has no name, takes more
  ///   than 400 bytes or has an incarnation of 2^43 or more
  static std::unique_ptr<Membership> Make(const Member& self,
                                          const MembershipOptions& options);

  virtual ~Membership() = default;

  /// Handles a received datagram and returns the datagrams to send. Invalid
  /// ones are counted and dropped.
  virtual std::vector<Datagram> OnDatagram(const Address& from,
                                           std::string_view bytes,
                                           Time now) = 0;

  /// Runs probes, timeouts and dissemination. Call every 100 ms.
  virtual std::vector<Datagram> Tick(Time now) = 0;

  /// Publishes a fact of this member under `key`. An unchanged fact isn't sent
  /// again.
  /// @throws Error with step "set fact" if it takes more than half a datagram
  virtual void SetFact(const std::string& key, const std::string& value,
                       bool expires, Time now) = 0;

  /// All facts held, ordered by (key, origin).
  virtual std::vector<Fact> Facts() const = 0;

  /// All known members including this one, ordered by name.
  virtual std::vector<Member> Members() const = 0;

  /// Increases with each change of Members() or Facts().
  virtual std::uint64_t Generation() const = 0;

  /// Announces the planned shutdown of this member.
  virtual std::vector<Datagram> Leave(Time now) = 0;

  /// Sets addresses to contact beside the seeds, e.g. the platform's VM list.
  virtual void SetAddressHints(const std::vector<Address>& addresses) = 0;

  virtual MembershipCounters Counters() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MEMBER_MEMBERSHIP_H_
