#ifndef HORNBEAMCLEAT_SRC_SERVING_ANSWERED_PROPERTIES_H_
#define HORNBEAMCLEAT_SRC_SERVING_ANSWERED_PROPERTIES_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/request_property.h"

namespace hornbeamcleat {

/// Properties of requests that were answered completely, and when the latest
/// answer began. Bounded in number; the oldest are evicted.
class AnsweredProperties {
 public:
  static constexpr std::size_t kMaxProperties = 16'384;

  /// @param is_own whether this VM has seen the answer itself
  void Add(RequestProperty property, Time began_at, bool is_own, Time now);

  /// When the latest answer began, if one is known.
  std::optional<Time> LatestBegin(RequestProperty property) const;
  /// The same, only if this VM has seen that answer itself.
  std::optional<Time> LatestOwnBegin(RequestProperty property) const;

  void Expire(Duration lifetime, Time now);

 private:
  struct Answer {
    Time began_at = Time::min();
    bool is_own = false;
    std::optional<Time> recorded_at;  ///< in `order_`
  };

  std::unordered_map<RequestProperty, Answer, RequestPropertyHash> answers_;
  std::deque<std::pair<Time, RequestProperty>> order_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_ANSWERED_PROPERTIES_H_
