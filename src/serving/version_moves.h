#ifndef HORNBEAMCLEAT_SRC_SERVING_VERSION_MOVES_H_
#define HORNBEAMCLEAT_SRC_SERVING_VERSION_MOVES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/move/evidence_table.h"
#include "hornbeamcleat/serving/version_move.h"
#include "src/move/version_judge.h"
#include "src/serving/target_balancer.h"

namespace hornbeamcleat {

/// Moves of traffic between software versions that take seconds. Each VM
/// judges by the answers that all VMs saw, so that a bad version loses its
/// traffic without a message; the outcome is agreed on through the store, where
/// the first record of an end stands.
///
/// Load pattern: a version that fails or is slow on some of its answers, at
/// once, later, on one route or only when it is loaded. It first gets a share
/// that keeps its part of the whole move's traffic within the bound, for half
/// of the time; then its share grows in steps, each a look at the evidence.
class VersionMoves {
 public:
  struct Options {
    /// Part of a move's traffic that a bad version may get.
    double exposure_share = 0.1;
  };

  /// Targets of a service by side, as the board sees them.
  struct SideCapacity {
    int new_slots = 0;
    int old_slots = 0;
    int old_running = 0;
  };

  struct Decisions {
    std::vector<MoveRecord> records;  ///< to write, until they are read back
    std::map<std::string, VersionRule> rules;  ///< by service
    std::vector<std::string> log_lines;        ///< changes, for the log
  };

  explicit VersionMoves(const Options& options);
  ~VersionMoves();

  /// Takes all orders and records of the store.
  void SetMoves(const std::vector<MoveOrder>& orders,
                const std::vector<MoveRecord>& records, Time now,
                WallTime wall_now);

  /// Whether the service's traffic moves now.
  bool IsMoving(const std::string& service) const;

  /// Orders that are known, also those that are over.
  std::vector<MoveOrder> Orders() const;

  /// An answer of a target with this version ended whole.
  /// @param slowness time to the first event as a multiple of the usual
  void OnAnswered(const std::string& service, const std::string& route,
                  const std::string& version, double slowness);
  /// ... failed, broke off, or came far later than usual.
  void OnFailed(const std::string& service, const std::string& route,
                const std::string& version);

  /// What this VM has seen, for its peers; empty if nothing moves.
  std::vector<VersionCounts> Counts() const;
  /// Takes a peer's counts since it started as `incarnation`.
  void SetPeerCounts(const std::string& peer, std::uint64_t incarnation,
                     const std::vector<VersionCounts>& counts);

  /// Judges and takes the next steps.
  /// @param sides by service
  /// @param leads whether this VM writes what any VM may write
  Decisions Decide(const std::map<std::string, SideCapacity>& sides, bool leads,
                   Time now, WallTime wall_now);

 private:
  struct Move;
  /// Service, version of its move, route, whether it is the new side.
  using CountKey = std::tuple<std::string, std::string, std::string, bool>;

  VersionCounts* Counter(const std::string& service, const std::string& route,
                         const std::string& version);
  void Judge(Move* move, Time now, WallTime wall_now);
  int CanaryPermille() const;
  int Permille(const Move& move, const SideCapacity& sides, double part) const;
  void Step(Move* move, const SideCapacity& sides, bool leads, Time now,
            WallTime wall_now, Decisions* out);

  const Options options_;
  std::map<std::string, std::unique_ptr<Move>> moves_;  ///< by service
  std::map<CountKey, VersionCounts> counts_;
  std::unique_ptr<EvidenceTable> evidence_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_VERSION_MOVES_H_
