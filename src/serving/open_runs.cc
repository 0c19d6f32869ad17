#include "src/serving/open_runs.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hornbeamcleat {

void OpenRuns::Add(OpenRun run) {
  if (count_ < kMaxRuns) {
    ++count_;
    runs_[run.run.target].push_back(std::move(run));
  }
}

std::vector<OpenRuns::OpenRun> OpenRuns::TakeLost(std::uint32_t target,
                                                  Time lost_at) {
  const auto it = runs_.find(target);
  if (it == runs_.end()) {
    return {};
  }
  std::vector<OpenRun> lost = std::move(it->second);
  runs_.erase(it);
  count_ -= lost.size();
  std::erase_if(lost, [lost_at](const OpenRun& run) {
    return lost_at - run.ended_at >= kMinRestartTime;
  });
  return lost;
}

std::vector<OpenRuns::OpenRun> OpenRuns::TakeProven(std::uint32_t target,
                                                    Time alive_at) {
  const auto it = runs_.find(target);
  if (it == runs_.end()) {
    return {};
  }
  const auto is_earlier_answer = [alive_at](const OpenRun& run) {
    return run.began_at.has_value() && run.ended_at <= alive_at;
  };
  std::vector<OpenRun> proven;
  for (const OpenRun& run : it->second) {
    if (is_earlier_answer(run) && alive_at - run.ended_at < kMinRestartTime) {
      proven.push_back(run);
    }
  }
  count_ -= std::erase_if(it->second, is_earlier_answer);
  if (it->second.empty()) {
    runs_.erase(it);
  }
  return proven;
}

std::optional<Time> OpenRuns::LatestAnswerEnd(std::uint32_t target,
                                              Time now) const {
  const auto it = runs_.find(target);
  std::optional<Time> latest;
  if (it == runs_.end()) {
    return latest;
  }
  for (const OpenRun& run : it->second) {
    if (run.began_at.has_value() && now - run.ended_at < kMinRestartTime) {
      latest = std::max(latest.value_or(run.ended_at), run.ended_at);
    }
  }
  return latest;
}

void OpenRuns::Expire(Time now) {
  count_ = 0;
  for (auto it = runs_.begin(); it != runs_.end();) {
    std::erase_if(it->second, [now](const OpenRun& run) {
      return now >= run.ended_at + kMinRestartTime;
    });
    count_ += it->second.size();
    it = it->second.empty() ? runs_.erase(it) : std::next(it);
  }
}

}  // namespace hornbeamcleat
