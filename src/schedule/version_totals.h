#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_TOTALS_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_TOTALS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/route.h"

namespace hornbeamcleat {

/// Counts answers and faults by version, route and tier. Bounded in size:
/// beyond the bound, further routes of a version and tier share one entry with
/// empty workspace and application. Totals never decrease.
class VersionTotals {
 public:
  static constexpr std::size_t kMaxEntries = 8'192;

  void Done(const std::string& version, const Route& route);
  void Fault(const std::string& version, const Route& route);
  /// Counts an answer that failed for a cause other than the version.
  void Excluded(const std::string& version, const Route& route);
  void FirstPart(const std::string& version, const Route& route,
                 Duration elapsed);

  std::vector<VersionEvidence> All() const;

 private:
  using Key =
      std::tuple<std::string, std::string, std::string, std::string, int>;

  VersionEvidence* Entry(const std::string& version, const Route& route);

  VersionEvidence* Add(std::uint64_t key, const std::string& version,
                       const Route& route);

  /// By hash of version and route.
  std::unordered_map<std::uint64_t, VersionEvidence> entries_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_TOTALS_H_
