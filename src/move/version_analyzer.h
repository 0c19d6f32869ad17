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

/// Assessment of the new version from the evidence at one instant.
struct VersionAssessment {
  bool bad = false;      ///< proven worse on some route or under high load
  bool suspect = false;  ///< possibly worse; growth should pause
  bool slower = false;   ///< over all routes, more likely slow than as fast
  bool as_fast = true;   ///< over all routes, convincingly; also if not tested
  bool good = false;     ///< accepted on every route with traffic
  bool plausible = false;  ///< more likely good than bad on every route
  bool exposed = false;    ///< has served every route with traffic
  bool met_load = true;    ///< has served at high load, if the old version has
  std::uint64_t ends = 0;  ///< requests of the new version that ended
  /// `ends` as a ratio of both versions' requests since the move began.
  double canary_ratio = 0;
  std::string reason;  ///< why it is bad, or which evidence is missing

  bool operator==(const VersionAssessment&) const = default;
};

/// Compares a new version with the old one, using cumulative sums: on each
/// route, over all routes, and at high load over all routes.
class VersionAnalyzer {
 public:
  explicit VersionAnalyzer(const MoveSpec& spec);

  /// Processes the sums as of `now`. Sums that decreased, because those of an
  /// entry were lost, become the new base.
  /// @param start_point whether to add a start point (see ChangeMixture)
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

  struct TestGroup {
    explicit TestGroup(const MoveSpec& spec);

    FaultTest faults;
    LatencyTest first_part;
    LatencyTest gap;
    FaultCount canary;  ///< of the current interval
    FaultCount baseline;
    std::uint64_t baseline_requests = 0;  ///< over all intervals
  };

  struct Stratum {
    VersionEvidence canary;  ///< sums as of the last update
    VersionEvidence baseline;
    LatencyReference first_part;
    LatencyReference gap;
  };

  struct Delta {
    VersionEvidence canary;  ///< increase since the last update
    VersionEvidence baseline;
  };

  std::map<StratumKey, Delta> ComputeDeltas(
      const std::vector<VersionEvidence>& sums);
  void AddDelta(const StratumKey& key, const Delta& delta, double decay);
  TestGroup* RouteTestGroup(const RouteKey& key);
  static void AddTimes(const Delta& delta, const Stratum& stratum,
                       TestGroup* tests);
  static void AddCounts(const Delta& delta, TestGroup* tests);
  static void FinishInterval(double decay, bool start_point, TestGroup* tests);
  VersionAssessment Assess() const;
  void AssessBad(const TestGroup& tests, const std::string& where,
                 double threshold, VersionAssessment* assessment) const;
  void AssessGood(const TestGroup& tests, const std::string& where,
                  VersionAssessment* assessment) const;

  MoveSpec spec_;
  std::map<StratumKey, Stratum> strata_;
  std::map<RouteKey, TestGroup> routes_;
  TestGroup all_;
  TestGroup high_load_;
  bool updated_ = false;
  WallTime last_update_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_VERSION_ANALYZER_H_
