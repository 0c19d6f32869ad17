#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_TIER_FLOOR_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_TIER_FLOOR_H_

#include <set>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/cluster_view.h"

namespace hornbeamcleat {

/// Decides which ranks of one model are closed at this entry, so that no entry
/// refuses a rank while another serves a greater one. Ranks close one at a
/// time, the greatest first, with the settle time between them, in which a
/// closing reaches every entry in contact. A rank may be refused for lack of
/// capacity only when all greater ranks have been closed here for the settle
/// time. Peers' closings are obeyed but not passed on, so two entries can't
/// hold each other closed.
class TierFloor {
 public:
  TierFloor(Duration settle, Duration hold) : settle_(settle), hold_(hold) {}

  /// Ranks that exist.
  void SetRanks(const std::set<int>& ranks) { ranks_ = ranks; }

  /// Least rank that a peer is known to have closed, or kNoFloor. A lower rank
  /// holds at once; a greater one is reached rank by rank, one per settle time,
  /// since entries may notice at different times that a peer was lost.
  void SetPeerClosed(int rank);

  /// Work of `rank` runs short of capacity: closes the greatest open rank above
  /// it if the last closing has settled. Call again while the shortage lasts.
  /// @return whether a rank was closed that was open here
  bool OnShortage(int rank, Time now);

  /// Lets peers' closings rise, and reopens one rank if no shortage was seen
  /// for the hold time.
  void Tick(Time now);

  /// Whether work of `rank` gets no new dispatch.
  bool Closed(int rank) const;

  /// Whether work of `rank` may be refused for lack of capacity.
  bool MayShed(int rank, Time now) const;

  /// Time that it takes to close all ranks above `rank`, if none is closed yet.
  Duration TimeToClose(int rank) const;

  /// Least rank that gets no new dispatch, or kNoFloor.
  int LeastClosed() const;

  /// Least rank closed by this entry itself, or kNoFloor.
  int OwnClosed() const { return own_closed_; }

 private:
  const Duration settle_;
  const Duration hold_;
  std::set<int> ranks_;
  int own_closed_ = kNoFloor;
  int peer_reported_ = kNoFloor;
  int peer_closed_ = kNoFloor;
  Time peer_raised_;
  Time closed_since_;
  Time last_shortage_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_TIER_FLOOR_H_
