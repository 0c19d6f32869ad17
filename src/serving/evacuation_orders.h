#ifndef HORNBEAMCLEAT_SRC_SERVING_EVACUATION_ORDERS_H_
#define HORNBEAMCLEAT_SRC_SERVING_EVACUATION_ORDERS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// What showed that an evacuation began or ended.
enum class EvacuationCause {
  kRecord,    ///< an operator's record
  kList,      ///< a complete list that has the record, or lacks it
  kRestored,  ///< the record was not written again after the store's restore
};

/// Returns the cause's name for logs.
const char* EvacuationCauseName(EvacuationCause cause);

/// Begin or end of the evacuation of a failure domain.
struct EvacuationChange {
  std::string failure_domain;
  bool is_active = false;
  EvacuationCause cause = EvacuationCause::kRecord;

  bool operator==(const EvacuationChange&) const = default;
};

/// Failure domains that operators have evacuated, as far as the store shows.
/// Holds one entry per evacuated domain; only operators' records create them.
///
/// Load pattern: operators evacuate a domain that is about to fail, while the
/// store is down, slow, or comes back from a copy that lacks the record.
///
/// All times are on the suspension-aware clock.
class EvacuationOrders {
 public:
  /// The store came back from a copy. Records that it lacks stay in force until
  /// operators have had time to write them again.
  void OnRestored(Time now);

  /// Applies a complete list.
  /// @param failure_domains those with a record
  /// @param sent when the list was requested
  std::vector<EvacuationChange> SetListed(
      const std::set<std::string>& failure_domains, Time sent);

  /// Applies a record that was written after the last list.
  /// @param is_requested false if the record was removed
  std::optional<EvacuationChange> OnRecord(const std::string& failure_domain,
                                           bool is_requested);

  /// Ends evacuations that were not written again after a restore.
  /// @param sent when a read was sent that reached the last record
  std::vector<EvacuationChange> OnCaughtUp(Time sent);

  std::set<std::string> Active() const;

 private:
  bool MayBeUnwritten(Time sent) const;

  /// Whether the record is missing since a restore, by evacuated domain.
  std::map<std::string, bool> is_missing_;
  std::optional<Time> restored_at_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_EVACUATION_ORDERS_H_
