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

/// State of one entry in a trial.
struct TrialEntry {
  bool alive = true;
  std::uint64_t incarnation = 1;
  VersionShare share;      ///< last share received
  bool withdrawn = false;  ///< whether it has learned of a withdrawal
  int canary_in_flight = 0;
  std::vector<VersionEvidence> evidence;  ///< sums of this incarnation
};

/// Simulation of the entries, engines and clients of one model: Poisson
/// arrivals at a slowly varying rate, log-normal times that increase with load,
/// and the new version's fault. Versions are chosen by ChoosesNewVersion.
class TrialTraffic {
 public:
  explicit TrialTraffic(const TrialSpec& spec);

  /// Simulates the arrivals and completions of one tick.
  /// @param tick ticks since the move was accepted
  /// @param baking whether the move is in its bake
  void Run(std::int64_t tick, bool baking);

  /// Kills entry `index`; its requests in flight are lost.
  void Kill(int index);

  /// Restarts entry `index` with its sums at zero.
  void Restart(int index);

  std::array<TrialEntry, kTrialEntries>& Entries() { return entries_; }

  std::uint64_t Requests() const { return requests_; }
  std::uint64_t CanaryRequests() const { return canary_requests_; }
  std::uint64_t CanaryRequestsAfterFault() const {
    return canary_requests_after_fault_;
  }

 private:
  struct Completion {
    int entry = 0;
    std::uint64_t incarnation = 0;
    int target = 0;  ///< 0..2*kTrialTargets-1, those of the old version first
    int cell = 0;
    bool fault = false;
    double first_part = 0;  ///< seconds
    double gap = 0;
  };

  void Complete(const Completion& completion);
  void HandleArrival(std::int64_t tick);
  int PickTarget(bool is_canary, const TrialEntry& entry);
  bool FaultActive(int route, double load) const;
  double FaultRatio() const;
  double Slowdown() const;
  Completion Dispatch(int entry, int target, int route);
  std::vector<VersionEvidence> EmptyEvidence() const;

  TrialSpec spec_;
  std::mt19937_64 random_;
  std::array<TrialEntry, kTrialEntries> entries_;
  std::array<int, 2 * kTrialTargets> in_flight_{};
  /// Ring buffer indexed by tick.
  std::vector<std::vector<Completion>> completions_;
  int bad_route_ = 0;
  std::int64_t fault_tick_ = 0;  ///< start of the fault, except kFailsInBake
  std::int64_t bake_ticks_ = 0;  ///< ticks of the bake before kFailsInBake
  bool fault_started_ = false;
  std::uint64_t requests_ = 0;
  std::uint64_t canary_requests_ = 0;
  std::uint64_t canary_requests_after_fault_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_TRIAL_TRIAL_TRAFFIC_H_
