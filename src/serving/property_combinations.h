#ifndef HORNBEAMCLEAT_SRC_SERVING_PROPERTY_COMBINATIONS_H_
#define HORNBEAMCLEAT_SRC_SERVING_PROPERTY_COMBINATIONS_H_

#include <array>
#include <cstddef>
#include <functional>
#include <unordered_map>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/request_property.h"

namespace hornbeamcleat {

/// Pairs and triples of requests' parts, keys and models that may crash targets
/// only together. A pair is kept from the loss on at which both of its
/// properties were lost before, at any VM and whether or not they were answered
/// since, and a triple once all its pairs were. Bounded in size.
class PropertyCombinations {
 public:
  /// Parts of a request that are combined with each other, the key and the
  /// model.
  static constexpr std::size_t kMaxParts = 8;
  static constexpr std::size_t kMaxLost = 8'192;

  /// Records the loss of a target with a request's properties. Returns them and
  /// the combinations that were lost before.
  std::vector<RequestProperty> OnLost(
      const std::vector<RequestProperty>& properties, Time now);

  /// Records a loss with a property or pair, for example of a peer.
  void Remember(RequestProperty property, Time now);

  /// Calls `use` for each pair of a request's properties, and for each triple
  /// if wanted.
  static void ForEach(const std::vector<RequestProperty>& properties,
                      bool with_triples,
                      const std::function<void(RequestProperty)>& use);

  /// Forgets losses before `time`.
  void Expire(Time time);

 private:
  bool WasLost(RequestProperty property) const {
    return lost_at_.contains(property);
  }

  /// Latest losses of properties and pairs.
  std::unordered_map<RequestProperty, Time, RequestPropertyHash> lost_at_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_PROPERTY_COMBINATIONS_H_
