#ifndef HORNBEAMCLEAT_SRC_SERVING_TARGET_REGISTRY_H_
#define HORNBEAMCLEAT_SRC_SERVING_TARGET_REGISTRY_H_

#include <map>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/serving_config.h"

namespace hornbeamcleat {

/// Registered targets. An entry that disappears without a draining state means
/// either that the target has stopped or that the store failed to keep the
/// entry alive.
///
/// Load pattern: after an outage of the store, most entries of a service are
/// missing at once and return within two seconds. Such targets remain usable
/// for a part of the drain time. A single missing entry is treated as removed,
/// unless the store has come back from a copy that can't hold it.
class TargetRegistry {
 public:
  /// @param missing_grace how long missing targets remain usable if most
  ///   targets of their service went missing
  explicit TargetRegistry(Duration missing_grace)
      : missing_grace_(missing_grace) {}

  void SetMissingGrace(Duration grace) { missing_grace_ = grace; }

  /// Adds or updates a target.
  void Put(const ServingTarget& target);
  /// Handles the removal of a target's entry.
  void Remove(const std::string& id, Time now);
  /// Replaces the complete list; targets missing from it count as removed.
  /// @param keep_missing how long targets missing from it remain usable, in any
  ///   case; zero: as after Remove
  void Replace(const std::vector<ServingTarget>& targets, Time now,
               Duration keep_missing = Duration(0));

  /// Returns the usable targets and drops expired ones.
  std::vector<ServingTarget> List(Time now);

  /// Returns when the next missing target expires, or Time::max().
  Time NextChange() const;

 private:
  struct MissingTarget {
    ServingTarget spec;
    Time expires;
    bool is_kept = false;  ///< usable even if few targets are missing
  };

  Duration missing_grace_;
  std::map<std::string, ServingTarget> registered_;
  std::map<std::string, MissingTarget> missing_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_TARGET_REGISTRY_H_
