#include "src/control/apply_tracker.h"

namespace hornbeamcleat {
namespace {

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

void ApplyTracker::Begin(std::uint64_t token, const std::string& writer,
                         ControlCore::ApplyCallback callback, Time expires) {
  waiting_[token] = {std::move(callback), expires, writer};
}

bool ApplyTracker::OnAppendEnd(std::uint64_t token, AppendEnd end) {
  const std::map<std::uint64_t, Waiting>::iterator it = waiting_.find(token);
  if (it == waiting_.end()) {
    return false;
  }
  // Done or unknown, the record's tag is waited for.
  if (end == AppendEnd::kFailed) {
    Finish(it, {ApplyEnd::kUnavailable, 0, "the log is unavailable"});
  }
  return true;
}

void ApplyTracker::OnFolded(const FoldedRecord& record) {
  for (std::map<std::uint64_t, Waiting>::iterator it = waiting_.begin();
       it != waiting_.end(); ++it) {
    if (it->second.writer == record.writer) {
      Finish(it, AnswerOf(record.result, record.offset));
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

}  // namespace hornbeamcleat
