#ifndef HORNBEAMCLEAT_SRC_SERVING_TARGET_REGISTRY_H_
#define HORNBEAMCLEAT_SRC_SERVING_TARGET_REGISTRY_H_

#include <map>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/serving_config.h"

namespace hornbeamcleat {

/// Announced targets. An entry that vanishes without a word means that the
/// target has left, or that the store could not keep its entry alive.
///
/// Load pattern: after an outage of the store most entries of a service are
/// gone at once and return within two seconds. Such targets stay usable for
/// part of the time that a leaving target may still be given work; a single
/// entry that vanishes is taken at its word.
class TargetRegistry {
 public:
  /// @param vanished_use how long a vanished target may be used when most
  ///   targets of its service vanished with it
  explicit TargetRegistry(Duration vanished_use)
      : vanished_use_(vanished_use) {}

  void SetVanishedUse(Duration use) { vanished_use_ = use; }

  /// The target announced itself or changed.
  void Put(const ServingTarget& target);
  /// The target's entry was removed.
  void Remove(const std::string& id, Time now);
  /// The whole list was read anew; what it lacks was removed.
  void Replace(const std::vector<ServingTarget>& targets, Time now);

  /// Targets to use now. Expires what vanished long ago.
  std::vector<ServingTarget> List(Time now);

  /// When List changes by itself; Time::max() if it doesn't.
  Time NextChange() const;

 private:
  struct Vanished {
    ServingTarget spec;
    Time at;
  };

  Duration vanished_use_;
  std::map<std::string, ServingTarget> announced_;
  std::map<std::string, Vanished> vanished_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_TARGET_REGISTRY_H_
