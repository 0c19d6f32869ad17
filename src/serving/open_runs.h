#ifndef HORNBEAMCLEAT_SRC_SERVING_OPEN_RUNS_H_
#define HORNBEAMCLEAT_SRC_SERVING_OPEN_RUNS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "src/serving/target_run.h"

namespace hornbeamcleat {

/// Runs that ended without telling whether their target had crashed: those that
/// were given up, and answers that look complete but end with their connection.
/// They are kept for a short time, in which other requests may tell. Bounded in
/// number.
class OpenRuns {
 public:
  /// A target that answers a request sent within this time after a connection
  /// ended has not been restarted in between.
  static constexpr Duration kMinRestartTime = std::chrono::seconds(1);
  static constexpr std::size_t kMaxRuns = 512;

  struct OpenRun {
    TargetRun run;
    Time ended_at;
    std::optional<Time> began_at;  ///< of an answer

    bool operator==(const OpenRun&) const = default;
  };

  void Add(OpenRun run);

  bool IsEmpty() const { return runs_.empty(); }

  /// Removes and returns the runs that a loss of the target ended.
  std::vector<OpenRun> TakeLost(std::uint32_t target, Time lost_at);

  /// Removes the answers of a target that was alive at `alive_at`, and returns
  /// those that this proves.
  std::vector<OpenRun> TakeProven(std::uint32_t target, Time alive_at);

  /// When the target's latest answer ended, if not long before `now`.
  std::optional<Time> LatestAnswerEnd(std::uint32_t target, Time now) const;

  void Expire(Time now);

 private:
  std::map<std::uint32_t, std::vector<OpenRun>> runs_;  ///< by target
  std::size_t count_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_OPEN_RUNS_H_
