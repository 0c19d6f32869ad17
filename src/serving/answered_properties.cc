#include "src/serving/answered_properties.h"

namespace hornbeamcleat {
namespace {

/// A later answer renews the record of a property after this time.
constexpr Duration kRenewalInterval = std::chrono::seconds(5);

}  // namespace

void AnsweredProperties::Add(RequestProperty property, Time began_at,
                             bool is_own, Time now) {
  Answer& answer = answers_[property];
  if (began_at < answer.began_at) {
    return;
  }
  answer.began_at = began_at;
  answer.is_own = is_own;
  if (!answer.recorded_at.has_value() ||
      now - *answer.recorded_at >= kRenewalInterval) {
    answer.recorded_at = now;
    order_.emplace_back(now, property);
  }
}

std::optional<Time> AnsweredProperties::LatestBegin(
    RequestProperty property) const {
  const auto it = answers_.find(property);
  return it == answers_.end() ? std::nullopt
                              : std::optional<Time>(it->second.began_at);
}

std::optional<Time> AnsweredProperties::LatestOwnBegin(
    RequestProperty property) const {
  const auto it = answers_.find(property);
  return it == answers_.end() || !it->second.is_own
             ? std::nullopt
             : std::optional<Time>(it->second.began_at);
}

void AnsweredProperties::Expire(Duration lifetime, Time now) {
  while (!order_.empty() && (order_.size() > kMaxProperties ||
                             now >= order_.front().first + lifetime)) {
    const auto [at, property] = order_.front();
    order_.pop_front();
    const auto it = answers_.find(property);
    if (it != answers_.end() && it->second.recorded_at == at) {
      answers_.erase(it);
    }
  }
}

}  // namespace hornbeamcleat
