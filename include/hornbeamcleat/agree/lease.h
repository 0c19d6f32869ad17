#ifndef HORNBEAMCLEAT_AGREE_LEASE_H_
#define HORNBEAMCLEAT_AGREE_LEASE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Tunables of leases; the same on all members.
struct LeaseOptions {
  Duration ttl = std::chrono::seconds(6);
  Duration renew_period = std::chrono::seconds(2);
  /// Taken off the holder's own term for clock drift.
  Duration margin = std::chrono::seconds(1);
  /// Longest time an order may be under way; a successor waits it out.
  Duration longest_order = std::chrono::seconds(5);

  bool operator==(const LeaseOptions&) const = default;
};

/// One lease as one member sees it, folded from claim records in the log. The
/// offset of a term's first claim is its fencing number. A holder counts its
/// term from before it sent the append; a rival counts from when it read the
/// record, so their views never overlap. A record names the offset up to which
/// its writer had read, and is void if a valid one came between. A member that
/// began to read in the midst of the stream holds nothing until a record shows
/// it that all members judge alike. It must be fed all records of the stream
/// from where it began. Has no I/O; not thread-safe.
class Lease {
 public:
  /// @param name what the lease is for, e.g. "move/m1"
  /// @param holder this member's name and incarnation
  static std::unique_ptr<Lease> Make(const std::string& name,
                                     const std::string& holder,
                                     const LeaseOptions& options);

  virtual ~Lease() = default;

  /// Claim or renewal record to append now, if one is due. The term is counted
  /// from this call. After it was sent, call OnAppended or OnAppendLost.
  virtual std::optional<std::string> Due(Time now) = 0;

  /// The append started at `sent` was answered with `offset`. Alone this
  /// grants nothing: the record counts when it is read back.
  virtual void OnAppended(std::uint64_t offset, Time sent) = 0;

  /// The append's answer was lost; reading the log decides.
  virtual void OnAppendLost(Time sent) = 0;

  /// The append was surely not done.
  virtual void OnAppendFailed(Time now) = 0;

  /// Ends this member's term at once.
  /// @return the record to append so that a successor need not wait for the
  ///   term's end; nothing if this member holds no term
  virtual std::optional<std::string> Resign() = 0;

  /// Folds a record of the lease stream, in offset order; those of other leases
  /// have no effect.
  virtual void OnRecord(std::uint64_t offset, const std::string& payload,
                        Time now) = 0;

  /// Whether this member may act now. Ask before each act: a pause may have
  /// outlasted the term.
  virtual bool Holds(Time now) const = 0;

  /// Fencing number of the current term, whoever holds it; 0 if none.
  virtual std::uint64_t Fencing() const = 0;

  /// Whether orders of the former holder may still be in flight.
  virtual bool MustWait(Time now) const = 0;

  /// Name and incarnation of the holder as last read; may be empty.
  virtual std::string Holder() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_AGREE_LEASE_H_
