#ifndef HORNBEAMCLEAT_AGREE_LEASE_H_
#define HORNBEAMCLEAT_AGREE_LEASE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Settings of leases; must be the same on all members.
struct LeaseOptions {
  Duration ttl = std::chrono::seconds(6);
  Duration renew_period = std::chrono::seconds(2);
  /// Subtracted from the holder's view of its term to allow for clock drift.
  Duration margin = std::chrono::seconds(1);
  /// Longest time for which an order may be in flight. A new holder waits this
  /// long for orders of the previous one.
  Duration longest_order = std::chrono::seconds(5);

  bool operator==(const LeaseOptions&) const = default;
};

/// One member's view of a lease, derived from claim records in the log. The
/// offset of a term's first claim is its fencing token. The holder measures its
/// term from before it sent the append; other members measure it from when they
/// read the record, so two members never hold the lease at once. Each record
/// contains the last offset that its writer had read, and is void if a valid
/// record lies in between. A member that starts reading in the middle of the
/// stream can't hold the lease until it reads a record that every member must
/// consider valid. It must be given all records from its starting offset on.
/// Performs no I/O; not thread-safe.
class Lease {
 public:
  /// @param name what the lease is for, e.g. "move/m1"
  /// @param holder this member's name and incarnation
  static std::unique_ptr<Lease> Make(const std::string& name,
                                     const std::string& holder,
                                     const LeaseOptions& options);

  virtual ~Lease() = default;

  /// Returns the claim or renewal record to append now, if one is due. The term
  /// is measured from this call. Report the result of the append to OnAppended,
  /// OnAppendLost or OnAppendFailed.
  virtual std::optional<std::string> Due(Time now) = 0;

  /// The append started at `sent` was acknowledged with `offset`. This doesn't
  /// grant the lease; reading the record back does.
  virtual void OnAppended(std::uint64_t offset, Time sent) = 0;

  /// The response to the append was lost; reading the log decides.
  virtual void OnAppendLost(Time sent) = 0;

  /// The append is known not to have happened.
  virtual void OnAppendFailed(Time now) = 0;

  /// Ends this member's term immediately; it makes no further claims.
  /// @return the record to append so that a successor doesn't have to wait for
  ///   the end of the term; nullopt if this member isn't the holder
  virtual std::optional<std::string> Resign() = 0;

  /// Applies a record of the lease stream. Call in offset order. Records of
  /// other leases have no effect.
  virtual void OnRecord(std::uint64_t offset, const std::string& payload,
                        Time now) = 0;

  /// Whether this member holds the lease. Check before each order: the process
  /// may have been paused for longer than the term.
  virtual bool Holds(Time now) const = 0;

  /// Fencing token of the current term, whichever member holds it; 0 if none.
  virtual std::uint64_t Fencing() const = 0;

  /// Whether orders of the previous holder may still be in flight.
  virtual bool FormerOrdersMayBeInFlight(Time now) const = 0;

  /// Name and incarnation of the holder as last read; empty if none.
  virtual std::string Holder() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_AGREE_LEASE_H_
