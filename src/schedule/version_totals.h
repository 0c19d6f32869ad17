#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_TOTALS_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_TOTALS_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/route.h"

namespace hornbeamcleat {

/// Totals of answers and faults by version, route and tier. Bounded in number:
/// beyond the bound, further routes of a version and tier share one entry with
/// empty workspace and application. Totals never shrink.
class VersionTotals {
 public:
  static constexpr std::size_t kMaxEntries = 8'192;

  void Done(const std::string& version, const Route& route);
  void Fault(const std::string& version, const Route& route);
  void FirstPart(const std::string& version, const Route& route,
                 Duration elapsed);

  std::vector<VersionEvidence> All() const;

 private:
  using Key =
      std::tuple<std::string, std::string, std::string, std::string, int>;

  VersionEvidence* Entry(const std::string& version, const Route& route);

  std::map<Key, VersionEvidence> entries_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_VERSION_TOTALS_H_
