#include "src/control/apply_tracker.h"

namespace hornbeamcleat {
namespace {

// Records that may be folded between an append and its answer.
constexpr std::size_t kMaxFolded = 4'096;

ApplyAnswer AnswerOf(FoldResult result, std::uint64_t offset) {
  switch (result) {
    case FoldResult::kApplied:
      return {ApplyEnd::kApplied, offset, ""};
    case FoldResult::kConflict:
    case FoldResult::kStale:
      return {ApplyEnd::kConflict, offset, "another change came first"};
    case FoldResult::kInvalid:
      return {ApplyEnd::kInvalid, offset, "the change is not valid"};
  }
  return {};
}

}  // namespace

void ApplyTracker::Begin(std::uint64_t token,
                         ControlCore::ApplyCallback callback, Time expires) {
  waiting_[token] = {std::move(callback), expires, 0};
}

bool ApplyTracker::OnAppendEnd(std::uint64_t token, AppendEnd end,
                               std::uint64_t offset) {
  const std::map<std::uint64_t, Waiting>::iterator it = waiting_.find(token);
  if (it == waiting_.end()) {
    return false;
  }
  if (end == AppendEnd::kFailed) {
    Finish(it, {ApplyEnd::kUnavailable, 0, "the log is unavailable"});
  } else if (end == AppendEnd::kUnknown) {
    Finish(it, {ApplyEnd::kUnknown, 0, "the log's answer was lost"});
  } else {
    it->second.offset = offset;
    TryFinish(it);
  }
  return true;
}

void ApplyTracker::OnFolded(std::uint64_t offset, FoldResult result) {
  folded_.emplace_back(offset, result);
  if (folded_.size() > kMaxFolded) {
    folded_.pop_front();
  }
  for (std::map<std::uint64_t, Waiting>::iterator it = waiting_.begin();
       it != waiting_.end(); ++it) {
    if (it->second.offset == offset) {
      TryFinish(it);
      return;
    }
  }
}

void ApplyTracker::Tick(Time now) {
  std::map<std::uint64_t, Waiting>::iterator it = waiting_.begin();
  while (it != waiting_.end()) {
    const std::map<std::uint64_t, Waiting>::iterator current = it++;
    if (current->second.expires <= now) {
      Finish(current, {ApplyEnd::kUnknown, 0, "the log took too long"});
    }
  }
}

void ApplyTracker::Finish(std::map<std::uint64_t, Waiting>::iterator it,
                          const ApplyAnswer& answer) {
  const ControlCore::ApplyCallback callback = std::move(it->second.callback);
  waiting_.erase(it);
  callback(answer);
}

bool ApplyTracker::TryFinish(std::map<std::uint64_t, Waiting>::iterator it) {
  for (const auto& [offset, result] : folded_) {
    if (offset == it->second.offset) {
      Finish(it, AnswerOf(result, offset));
      return true;
    }
  }
  return false;
}

}  // namespace hornbeamcleat
