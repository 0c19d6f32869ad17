#include "src/relay/buffer_budget.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

/// What each holder may keep however many there are: the head of a response, or
/// an event of usual size.
constexpr std::size_t kMinPartBytes = 8'192;
/// A holder is stalled once all holders have grown this often on average since
/// it grew itself.
constexpr std::uint64_t kStalledGrowths = 4;

}  // namespace

BufferBudget::Share::~Share() {
  SetReclaimable(false);
  Set(0);
}

void BufferBudget::Share::Set(std::size_t bytes) {
  if (budget_ != nullptr) {
    budget_->holders_ += bytes > 0 ? 1 : 0;
    budget_->holders_ -= bytes_ > 0 ? 1 : 0;
    budget_->held_ += bytes;
    budget_->held_ -= bytes_;
    if (bytes > bytes_) {
      grown_at_ = ++budget_->growths_;
    }
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

void BufferBudget::Share::SetReclaim(std::function<void()> reclaim) {
  reclaim_ = std::move(reclaim);
}

void BufferBudget::Share::SetReclaimable(bool is_reclaimable) {
  if (budget_ == nullptr || is_reclaimable == is_reclaimable_) {
    return;
  }
  is_reclaimable_ = is_reclaimable;
  if (is_reclaimable) {
    budget_->reclaimable_.insert(this);
  } else {
    budget_->reclaimable_.erase(this);
  }
}

bool BufferBudget::Share::MakeRoom() {
  if (budget_ == nullptr) {
    return true;
  }
  while (budget_->held_ > budget_->limit_) {
    Share* largest = budget_->FindLargest(this, true);
    if (largest == nullptr && bytes_ <= budget_->Part()) {
      largest = budget_->FindLargest(this, false);
      if (largest != nullptr && largest->bytes_ <= bytes_) {
        largest = nullptr;
      }
    }
    if (largest == nullptr) {
      return bytes_ <= kMinPartBytes;
    }
    budget_->End(largest);
  }
  return true;
}

bool BufferBudget::Share::IsStalled() const {
  return budget_->growths_ - grown_at_ > kStalledGrowths * budget_->holders_;
}

std::size_t BufferBudget::Part() const {
  return std::max(kMinPartBytes, limit_ / std::max(holders_, std::size_t{1}));
}

BufferBudget::Share* BufferBudget::FindLargest(const Share* asking,
                                               bool only_stalled) const {
  Share* largest = nullptr;
  for (Share* share : reclaimable_) {
    if (share != asking && share->bytes_ > 0 &&
        (largest == nullptr || share->bytes_ > largest->bytes_) &&
        (!only_stalled || share->IsStalled())) {
      largest = share;
    }
  }
  return largest;
}

void BufferBudget::End(Share* share) {
  // Taken out first, so that each call leaves one holder less to choose from.
  share->SetReclaimable(false);
  const std::function<void()> reclaim = share->reclaim_;
  reclaim();
}

}  // namespace hornbeamcleat
