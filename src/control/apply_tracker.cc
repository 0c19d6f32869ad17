#include "src/control/apply_tracker.h"

namespace hornbeamcleat {
namespace {

ApplyResult ResultOf(FoldResult result, std::uint64_t offset) {
  switch (result) {
    case FoldResult::kApplied:
      return {ApplyStatus::kApplied, offset, ""};
    case FoldResult::kConflict:
    case FoldResult::kStale:
      return {ApplyStatus::kConflict, offset, "another change came first"};
    case FoldResult::kInvalid:
      return {ApplyStatus::kInvalid, offset, "the change is not valid"};
  }
  return {};
}

}  // namespace

void ApplyTracker::Begin(std::uint64_t token, const std::string& writer,
                         ControlCore::ApplyCallback callback, Time expires) {
  pending_[token] = {std::move(callback), expires, writer};
}

bool ApplyTracker::OnAppendFinished(std::uint64_t token, AppendStatus status) {
  const std::map<std::uint64_t, PendingChange>::iterator it =
      pending_.find(token);
  if (it == pending_.end()) {
    return false;
  }
  // After any other outcome the record may be in the log, so the change stays
  // pending until its tag is read or it expires.
  if (status == AppendStatus::kFailed) {
    Finish(it, {ApplyStatus::kUnavailable, 0, "the log is unavailable"});
  }
  return true;
}

void ApplyTracker::OnFolded(const FoldedRecord& record) {
  for (std::map<std::uint64_t, PendingChange>::iterator it = pending_.begin();
       it != pending_.end(); ++it) {
    if (it->second.writer == record.writer) {
      Finish(it, ResultOf(record.result, record.offset));
      return;
    }
  }
}

void ApplyTracker::Tick(Time now) {
  std::map<std::uint64_t, PendingChange>::iterator it = pending_.begin();
  while (it != pending_.end()) {
    const std::map<std::uint64_t, PendingChange>::iterator current = it++;
    if (current->second.expires <= now) {
      Finish(current,
             {ApplyStatus::kUnknown, 0, "timed out waiting for the log"});
    }
  }
}

void ApplyTracker::Finish(std::map<std::uint64_t, PendingChange>::iterator it,
                          const ApplyResult& result) {
  const ControlCore::ApplyCallback callback = std::move(it->second.callback);
  pending_.erase(it);
  callback(result);
}

}  // namespace hornbeamcleat
