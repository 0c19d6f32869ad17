#include "src/relay/buffer_budget.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

/// What each holder may keep however many there are: the head of a response, or
/// an event of usual size.
constexpr std::size_t kMinPartBytes = 8'192;

}  // namespace

void BufferBudget::Share::Set(std::size_t bytes) {
  if (budget_ != nullptr) {
    budget_->holders_ += bytes > 0 ? 1 : 0;
    budget_->holders_ -= bytes_ > 0 ? 1 : 0;
    budget_->held_ += bytes;
    budget_->held_ -= bytes_;
  }
  bytes_ = bytes;
}

bool BufferBudget::Share::ExceedsPart() const {
  if (bytes_ == 0 || budget_ == nullptr || budget_->held_ <= budget_->limit_) {
    return false;
  }
  // Holders that receive nothing more keep what they have, so equal parts alone
  // don't bound the sum.
  const bool is_critical = budget_->held_ > 2 * budget_->limit_;
  const std::size_t part =
      is_critical ? 0 : budget_->limit_ / budget_->holders_;
  return bytes_ > std::max(kMinPartBytes, part);
}

}  // namespace hornbeamcleat
