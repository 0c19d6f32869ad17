#ifndef HORNBEAMCLEAT_SRC_TRIAL_TRIAL_TRAFFIC_H_
#define HORNBEAMCLEAT_SRC_TRIAL_TRIAL_TRAFFIC_H_

#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "hornbeamcleat/move/version_share.h"
#include "hornbeamcleat/schedule/scheduler.h"
#include "src/trial/move_trial.h"

namespace hornbeamcleat {

inline constexpr int kTrialEntries = 6;
inline constexpr int kTrialTargets = 10;  ///< of each version
inline constexpr int kTrialRoutes = 4;
inline constexpr Duration kTrialTick = std::chrono::milliseconds(100);

/// What one entry of a trial knows and has done.
struct TrialEntry {
  bool alive = true;
  std::uint64_t incarnation = 1;
  VersionShare share;      ///< as it last heard
  bool withdrawn = false;  ///< whether it has heard so
  int fresh_in_flight = 0;
  std::vector<VersionEvidence> evidence;  ///< sums of this life
};

/// Small stand-in for entries, engines and callers of one model: Poisson
/// arrivals with a slow swing, log-normal times that rise with load, and the
/// new version's fault. Versions are chosen by ChoosesNewVersion.
class TrialTraffic {
 public:
  explicit TrialTraffic(const TrialSpec& spec);

  /// Runs the arrivals and ends of one tick.
  /// @param tick number of the tick since acceptance
  /// @param baking whether the move bakes
  void Run(std::int64_t tick, bool baking);

  /// Kills entry `index`: what is in flight there is lost.
  void Kill(int index);

  /// Starts entry `index` anew, with sums from zero.
  void Restart(int index);

  std::array<TrialEntry, kTrialEntries>& Entries() { return entries_; }

  std::uint64_t Requests() const { return requests_; }
  std::uint64_t Fresh() const { return fresh_; }
  std::uint64_t AfterFault() const { return after_fault_; }

 private:
  struct End {
    int entry = 0;
    std::uint64_t incarnation = 0;
    int target = 0;  ///< 0..2*kTrialTargets-1, the old version's first
    int cell = 0;
    bool fault = false;
    double first_part = 0;  ///< seconds
    double gap = 0;
  };

  void Finish(const End& end);
  void Arrive(std::int64_t tick);
  int PickTarget(bool fresh, const TrialEntry& entry);
  bool FaultActive(int route, double load) const;
  double FaultRatio() const;
  double Slowdown() const;
  End Serve(int entry, int target, int route);
  std::vector<VersionEvidence> EmptyEvidence() const;

  TrialSpec spec_;
  std::mt19937_64 random_;
  std::array<TrialEntry, kTrialEntries> entries_;
  std::array<int, 2 * kTrialTargets> in_flight_{};
  std::vector<std::vector<End>> ends_;  ///< ring by tick
  int bad_route_ = 0;
  std::int64_t fault_tick_ = 0;  ///< from here on, or after the bake's start
  std::int64_t bake_ticks_ = 0;
  bool fault_begun_ = false;
  std::uint64_t requests_ = 0;
  std::uint64_t fresh_ = 0;
  std::uint64_t after_fault_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_TRIAL_TRAFFIC_H_
