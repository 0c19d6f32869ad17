#ifndef HORNBEAMCLEAT_SRC_SERVING_REFUSAL_RECORDS_H_
#define HORNBEAMCLEAT_SRC_SERVING_REFUSAL_RECORDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/request_property.h"

namespace hornbeamcleat {

class LossTable;

/// Decides which refused properties are recorded in the store, so that VMs
/// which all stop at once refuse them when they start again.
///
/// VMs that have seen a loss with a property record it. Records are repeated
/// until they are read back, which also covers a store that is away or has lost
/// them, and removed when the property is no longer refused.
class RefusalRecords {
 public:
  struct Changes {
    std::vector<PropertyLoss> record;
    std::vector<RequestProperty> remove;

    bool operator==(const Changes&) const = default;
  };

  /// Sets the records that the store holds. Returns those that this VM must
  /// refuse: all of the first list. Later ones are known from peers.
  std::vector<PropertyLoss> SetStored(
      const std::vector<PropertyLoss>& refusals);

  /// @param rank number of VMs that should remove a record before this one, by
  ///   the property's code
  Changes Decide(const LossTable& losses,
                 const std::function<int(std::uint64_t)>& rank, Time now);

 private:
  /// Property that this VM refuses, or did when it was last recorded.
  struct Known {
    Time next_write;
    Time cleared_at = Time::max();
  };

  bool has_list_ = false;
  std::map<RequestProperty, std::uint32_t> stored_;  ///< trials by property
  std::map<RequestProperty, Known> known_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_REFUSAL_RECORDS_H_
