#include "src/schedule/explain_log.h"

#include <fmt/format.h>

#include <utility>

namespace hornbeamcleat {

void ExplainLog::Put(ExplainRecord record) {
  if (ring_.size() < kMaxRecords) {
    ring_.push_back(std::move(record));
    return;
  }
  ring_[next_] = std::move(record);
  next_ = (next_ + 1) % kMaxRecords;
}

std::string ExplainLog::Text(const RequestId& id) const {
  // The newest record is the one before next_.
  for (std::size_t i = 0; i < ring_.size(); ++i) {
    const std::size_t age = i + 1;
    const ExplainRecord& record =
        ring_[(next_ + ring_.size() - age) % ring_.size()];
    if (record.id == id) {
      return Format(record);
    }
  }
  return "";
}

std::string ExplainLog::Format(const ExplainRecord& record) {
  std::string text = fmt::format(
      "Request {} for {} of rank {}: predicted wait {:.2f} s and service "
      "{:.2f} "
      "s; waited {:.2f} s; {} earlier attempts not run.",
      record.id, record.route->model, record.route->rank, record.predicted_wait,
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
