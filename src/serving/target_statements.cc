#include "src/serving/target_statements.h"

#include <algorithm>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

/// Statements of targets without an entry are kept for this time. Entries that
/// lapse while the store is away come back seconds after its return.
constexpr Duration kKeepTime = std::chrono::minutes(10);
constexpr std::size_t kMaxTargets = 8'192;
/// Peers that avoid a target until nearly the end of a rest aren't told of it.
constexpr Duration kNewsTolerance = std::chrono::milliseconds(250);

std::uint32_t MillisecondsLeft(Time end, Time now) {
  return static_cast<std::uint32_t>(std::max(Duration(0), end - now) /
                                    std::chrono::milliseconds(1));
}

}  // namespace

TargetInstance TargetInstance::Of(const ServingTarget& target) {
  return {Hash64(target.id), target.start_time_ms};
}

bool TargetStatements::MarkLeaving(std::int64_t start_time_ms, State* state) {
  if (IsLeaving(*state, start_time_ms)) {
    return false;
  }
  state->is_leaving = true;
  state->leaving_start_ms = start_time_ms;
  return true;
}

// Returns the state of this start of the target. A new start knows nothing of
// the rests that the target asked for before.
TargetStatements::State* TargetStatements::Refresh(const TargetInstance& target,
                                                   Time now) {
  if (states_.size() >= kMaxTargets && !states_.contains(target.id)) {
    EvictOldest();
  }
  State& state = states_[target.id];
  state.known_at = now;
  if (state.rest_start_ms < target.start_time_ms) {
    state.rest_start_ms = target.start_time_ms;
    state.rest_ends = state.opens_at = state.peer_rest_ends = Time();
    state.needs_trial = false;
  }
  return &state;
}

bool TargetStatements::OnStatement(const TargetInstance& target,
                                   const TargetStatement& statement,
                                   Duration return_delay, Time now) {
  const Duration rest = statement.rest.value_or(Duration(0));
  if (!statement.is_leaving && rest <= Duration(0)) {
    return false;
  }
  State* state = Refresh(target, now);
  bool is_news = false;
  if (statement.is_leaving) {
    is_news = MarkLeaving(target.start_time_ms, state);
  }
  const Time ends = now + rest;
  if (rest > Duration(0) && ends > state->rest_ends &&
      target.start_time_ms == state->rest_start_ms) {
    is_news = is_news ||
              ends > kNewsTolerance +
                         std::max(state->told_rest_ends, state->peer_rest_ends);
    state->rest_ends = ends;
    state->return_delay = return_delay;
    state->opens_at = std::max(state->opens_at, ends + return_delay);
    state->needs_trial = true;
  }
  if (is_news) {
    state->stated_at = now;
    state->told_rest_ends = state->rest_ends;
  }
  return is_news;
}

void TargetStatements::OnDraining(const TargetInstance& target, Time now) {
  MarkLeaving(target.start_time_ms, Refresh(target, now));
}

// A VM that was asked for rest itself waits for peers that tried before it and
// were asked for more.
bool TargetStatements::OnNotice(const TargetNotice& notice, Time now) {
  State* state = Refresh(notice.target, now);
  if (notice.rest_ms > 0 &&
      notice.target.start_time_ms == state->rest_start_ms) {
    const Time ends = now + std::chrono::milliseconds(notice.rest_ms);
    state->peer_rest_ends = std::max(state->peer_rest_ends, ends);
    if (state->needs_trial) {
      state->opens_at = std::max(state->opens_at, ends + state->return_delay);
    }
  }
  return notice.is_leaving && MarkLeaving(notice.target.start_time_ms, state);
}

void TargetStatements::OnAnswered(const TargetInstance& target, Time now) {
  const auto it = states_.find(target.id);
  if (it != states_.end() && now >= it->second.opens_at) {
    it->second.needs_trial = false;
    it->second.peer_rest_ends = Time();
  }
}

TargetAccess TargetStatements::Access(const TargetInstance& target,
                                      Time now) const {
  const auto it = states_.find(target.id);
  if (it == states_.end()) {
    return TargetAccess::kOpen;
  }
  const State& state = it->second;
  if (IsLeaving(state, target.start_time_ms)) {
    return TargetAccess::kLeaving;
  }
  if (target.start_time_ms > state.rest_start_ms) {
    return TargetAccess::kOpen;
  }
  if (now < state.opens_at) {
    return TargetAccess::kResting;
  }
  if (state.needs_trial) {
    return TargetAccess::kTrial;
  }
  return now < state.peer_rest_ends ? TargetAccess::kAvoided
                                    : TargetAccess::kOpen;
}

bool TargetStatements::IsLeaving(const TargetInstance& target) const {
  const auto it = states_.find(target.id);
  return it != states_.end() && IsLeaving(it->second, target.start_time_ms);
}

Time TargetStatements::OpensAt(const TargetInstance& target, Time now) const {
  switch (Access(target, now)) {
    case TargetAccess::kLeaving:
      return Time::max();
    case TargetAccess::kResting:
      return states_.at(target.id).opens_at;
    case TargetAccess::kOpen:
    case TargetAccess::kTrial:
    case TargetAccess::kAvoided:
      break;
  }
  return now;
}

void TargetStatements::SetListed(const std::vector<TargetInstance>& targets,
                                 Time now) {
  listed_.clear();
  for (const TargetInstance& target : targets) {
    listed_.insert(target.id);
    const auto it = states_.find(target.id);
    if (it != states_.end()) {
      it->second.known_at = now;
    }
  }
  std::erase_if(states_, [&](const auto& item) {
    return !listed_.contains(item.first) &&
           now - item.second.known_at > kKeepTime &&
           now >= item.second.opens_at;
  });
}

std::vector<TargetNotice> TargetStatements::NoticesSince(Time since,
                                                         Time now) const {
  std::vector<TargetNotice> notices;
  for (const auto& [id, state] : states_) {
    if (state.stated_at != Time() && state.stated_at >= since) {
      notices.push_back(NoticeOf(id, state, now));
    }
  }
  return notices;
}

std::vector<TargetNotice> TargetStatements::AllNotices(Time now) const {
  std::vector<TargetNotice> notices;
  for (const auto& [id, state] : states_) {
    const TargetNotice notice = NoticeOf(id, state, now);
    if (notice.is_leaving || notice.rest_ms > 0) {
      notices.push_back(notice);
    }
  }
  return notices;
}

TargetNotice TargetStatements::NoticeOf(std::uint64_t id, const State& state,
                                        Time now) {
  TargetNotice notice;
  notice.target = {
      id, state.is_leaving ? state.leaving_start_ms : state.rest_start_ms};
  notice.is_leaving = state.is_leaving;
  if (notice.target.start_time_ms == state.rest_start_ms) {
    notice.rest_ms =
        MillisecondsLeft(std::max(state.rest_ends, state.peer_rest_ends), now);
  }
  return notice;
}

// Unlisted targets go first.
void TargetStatements::EvictOldest() {
  const auto oldest = std::min_element(
      states_.begin(), states_.end(), [this](const auto& a, const auto& b) {
        const bool a_listed = listed_.contains(a.first);
        const bool b_listed = listed_.contains(b.first);
        return a_listed != b_listed ? !a_listed
                                    : a.second.known_at < b.second.known_at;
      });
  states_.erase(oldest);
}

}  // namespace hornbeamcleat
