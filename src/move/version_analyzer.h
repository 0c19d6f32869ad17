#ifndef HORNBEAMCLEAT_SRC_MOVE_VERSION_ANALYZER_H_
#define HORNBEAMCLEAT_SRC_MOVE_VERSION_ANALYZER_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/config/resource.h"
#include "hornbeamcleat/schedule/scheduler.h"
#include "src/move/fault_test.h"
#include "src/move/latency_test.h"

namespace hornbeamcleat {

/// What the evidence says of the new version at one instant.
struct VersionAssessment {
  bool bad = false;        ///< proven worse on some route or under load
  bool suspect = false;    ///< not proven, but growth had better wait
  bool good = false;       ///< held for good on every route with traffic
  bool plausible = false;  ///< rather good than bad on every route
  bool exposed = false;    ///< served on every route with traffic
  bool met_load = true;    ///< met high load, if the old version did
  std::uint64_t ends = 0;  ///< requests of the new version that ended
  /// Those as a part of both versions' since the move began.
  double fresh_ratio = 0;
  std::string reason;  ///< of bad, else of what is lacking

  bool operator==(const VersionAssessment&) const = default;
};

/// Compares a new version with the old one from sums that grow, per route and
/// at high load over all routes.
class VersionAnalyzer {
 public:
  explicit VersionAnalyzer(const MoveSpec& spec);

  /// Takes the sums as of `now`. Sums that shrank, because an entry's were
  /// lost, are taken as a new base.
  /// @param start_point whether a fault may begin now (see ChangeMixture)
  VersionAssessment Update(const std::vector<VersionEvidence>& sums,
                           WallTime now, bool start_point);

 private:
  struct RouteKey {
    std::string workspace;
    std::string application;
    int tier_rank = 0;

    bool operator<(const RouteKey& other) const {
      return std::tie(workspace, application, tier_rank) <
             std::tie(other.workspace, other.application, other.tier_rank);
    }
  };

  struct StratumKey {
    RouteKey route;
    int length_class = 0;
    int load_level = 0;

    bool operator<(const StratumKey& other) const {
      return std::tie(route, length_class, load_level) <
             std::tie(other.route, other.length_class, other.load_level);
    }
  };

  struct Tests {
    explicit Tests(const MoveSpec& spec);

    FaultTest faults;
    LatencyTest first_part;
    LatencyTest gap;
    FaultCount fresh;  ///< of the current interval
    FaultCount old;
    std::uint64_t old_ends = 0;  ///< over all intervals
  };

  struct Stratum {
    VersionEvidence fresh;  ///< sums as of the last update
    VersionEvidence old;
    LatencyReference first_part;
    LatencyReference gap;
  };

  struct Step {
    VersionEvidence fresh;  ///< growth since the last update
    VersionEvidence old;
  };

  std::map<StratumKey, Step> TakeSteps(
      const std::vector<VersionEvidence>& sums);
  void AddStep(const StratumKey& key, const Step& step, double decay);
  Tests* RouteTests(const RouteKey& key);
  static void AddTimes(const Step& step, const Stratum& stratum, Tests* tests);
  static void AddCounts(const Step& step, Tests* tests);
  static void Finish(double decay, bool start_point, Tests* tests);
  VersionAssessment Judge() const;
  void JudgeBad(const Tests& tests, const std::string& where, double threshold,
                VersionAssessment* verdict) const;
  void JudgeGood(const Tests& tests, const std::string& where,
                 VersionAssessment* verdict) const;

  MoveSpec spec_;
  std::map<StratumKey, Stratum> strata_;
  std::map<RouteKey, Tests> routes_;
  Tests all_;
  Tests high_load_;
  bool updated_ = false;
  WallTime last_update_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_VERSION_ANALYZER_H_
