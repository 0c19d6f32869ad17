#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_TIER_FLOOR_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_TIER_FLOOR_H_

#include <set>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/cluster_view.h"

namespace hornbeamcleat {

/// Decides which ranks of one model are closed at this entry, so that no entry
/// refuses a rank while another serves a greater one. Ranks close one at a
/// time, the greatest first, at intervals of the settle time, within which a
/// closing reaches every connected entry. A rank may be refused for lack of
/// capacity only after all greater ranks have been closed here for the settle
/// time. Closings by peers apply here but are not forwarded, so that two
/// entries can't keep each other closed.
class TierFloor {
 public:
  TierFloor(Duration settle, Duration hold) : settle_(settle), hold_(hold) {}

  /// Sets the ranks that are configured.
  void SetRanks(const std::set<int>& ranks) { ranks_ = ranks; }

  /// Sets the lowest rank that a peer is known to have closed, or kNoFloor. A
  /// lower rank than before applies at once. A greater one is reached one rank
  /// per settle time, since entries may detect the loss of a peer at different
  /// times.
  void SetPeerClosed(int rank);

  /// Reports a capacity shortage for work of `rank`. Closes the greatest open
  /// rank above it if the last closing has settled. Call again while the
  /// shortage lasts.
  /// @return whether a rank was closed that was open here
  bool OnShortage(int rank, Time now);

  /// Raises the peers' closed rank when due, and reopens one rank if no
  /// shortage was reported for the hold time.
  void Tick(Time now);

  /// Whether work of `rank` is not dispatched.
  bool Closed(int rank) const;

  /// Whether work of `rank` may be refused for lack of capacity.
  bool MayShed(int rank, Time now) const;

  /// Time needed to close all ranks above `rank` if none is closed yet.
  Duration TimeToClose(int rank) const;

  /// Lowest rank that is not dispatched, or kNoFloor.
  int LeastClosed() const;

  /// Lowest rank closed by this entry itself, or kNoFloor.
  int OwnClosed() const { return own_closed_; }

 private:
  const Duration settle_;
  const Duration hold_;
  std::set<int> ranks_;
  int own_closed_ = kNoFloor;
  int peer_reported_ = kNoFloor;
  int peer_closed_ = kNoFloor;
  Time peer_raised_at_;
  Time closed_since_;
  Time last_shortage_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_TIER_FLOOR_H_
