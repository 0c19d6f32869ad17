#include "src/schedule/explain_log.h"

#include <fmt/format.h>

#include <utility>

namespace hornbeamcleat {

void ExplainLog::Put(ExplainRecord record) {
  const auto known = index_.find(record.id);
  if (known != index_.end()) {
    ring_[known->second] = std::move(record);
    return;
  }
  if (ring_.size() < kMaxRecords) {
    ring_.emplace_back();
  } else {
    index_.erase(ring_[next_].id);
  }
  index_[record.id] = next_;
  ring_[next_] = std::move(record);
  next_ = (next_ + 1) % kMaxRecords;
}

std::string ExplainLog::Text(const RequestId& id) const {
  const auto it = index_.find(id);
  if (it == index_.end()) {
    return "";
  }
  const ExplainRecord& record = ring_[it->second];
  std::string text = fmt::format(
      "Request {} for {} of rank {}: predicted wait {:.2f} s and service "
      "{:.2f} "
      "s; waited {:.2f} s; {} earlier attempts not run.",
      record.id, record.model, record.rank, record.predicted_wait,
      record.predicted_service, record.waited, record.attempts);
  if (!record.target.empty()) {
    text += fmt::format(" Sent to {} with version {}.", record.target,
                        record.version);
  }
  if (record.refused) {
    text += fmt::format(" Ended as {} because of {}.",
                        OutcomeName(record.outcome), ReasonName(record.reason));
  }
  return text;
}

}  // namespace hornbeamcleat
