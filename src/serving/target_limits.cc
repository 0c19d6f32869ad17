#include "src/serving/target_limits.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace hornbeamcleat {
namespace {

/// A lower limit counts for this time after it was last stated. Answers to
/// requests that were sent before are on their way for less.
constexpr Duration kHoldTime = std::chrono::seconds(1);
/// A target whose limit nobody has heard of for this time is tried by VMs
/// without a turn, each at kTrialInterval times the number of VMs.
constexpr Duration kTrialAfter = std::chrono::seconds(10);
constexpr Duration kTrialInterval = std::chrono::seconds(2);
constexpr Duration kMinTrialInterval = std::chrono::seconds(16);
/// Limits of targets without an entry, and ends of limits, are kept for this
/// time.
constexpr Duration kKeepTime = std::chrono::minutes(10);
constexpr std::size_t kMaxTargets = 8'192;
/// Changes of a limit that peers are told at once, as a fraction of it.
constexpr double kNewsTolerance = 0.05;

bool Differs(double a, double b) {
  return std::abs(a - b) > kNewsTolerance * b;
}

}  // namespace

// Returns the state of this start of the target. A new start knows nothing of
// limits before.
TargetLimits::State* TargetLimits::Refresh(const TargetInstance& target,
                                           Time now) {
  if (states_.size() >= kMaxTargets && !states_.contains(target.id)) {
    EvictOldest();
  }
  const auto [it, is_new] = states_.try_emplace(target.id);
  State& state = it->second;
  if (is_new || state.start_time_ms < target.start_time_ms) {
    state = State();
    state.start_time_ms = target.start_time_ms;
    if (share_) {
      state.share = share_(target);
      state.rate.SetShare(state.share, now);
    }
  }
  return &state;
}

const TargetLimits::State* TargetLimits::FindLimited(
    const TargetInstance& target) const {
  const auto it = states_.find(target.id);
  return it != states_.end() && it->second.is_limited &&
                 it->second.start_time_ms >= target.start_time_ms
             ? &it->second
             : nullptr;
}

void TargetLimits::Apply(double per_second, Time at, Time now, State* state) {
  if (at <= state->ended_at && state->ended_at != Time()) {
    return;
  }
  const bool is_old = at + kHoldTime < state->stated_at;
  if (!state->is_limited) {
    state->is_limited = true;
    state->per_second = per_second;
    state->lowest_at = at;
    state->rate.SetTotal(per_second, now);
  } else if (!is_old && (per_second <= state->per_second ||
                         at - state->lowest_at >= kHoldTime)) {
    state->per_second = per_second;
    state->lowest_at = std::max(state->lowest_at, at);
    state->rate.SetTotal(per_second, now);
  }
  state->stated_at = std::max(state->stated_at, at);
}

bool TargetLimits::OnStated(const TargetInstance& target, double per_second,
                            Time now) {
  State* state = Refresh(target, now);
  if (target.start_time_ms < state->start_time_ms) {
    return false;
  }
  const bool was_limited = state->is_limited;
  Apply(per_second, now, now, state);
  state->news_at = now;
  const bool is_news =
      !was_limited || Differs(state->per_second, state->told_per_second);
  if (is_news) {
    state->told_per_second = state->per_second;
  }
  return is_news;
}

bool TargetLimits::OnUnlimitedAnswer(const TargetInstance& target, Time sent,
                                     Time now) {
  State* state = FindLimited(target);
  if (state == nullptr || sent <= state->stated_at ||
      now - state->stated_at < kHoldTime) {
    return false;
  }
  state->is_limited = false;
  state->ended_at = state->news_at = now;
  return true;
}

bool TargetLimits::OnNotice(const LimitNotice& notice, Time now) {
  if (!std::isfinite(notice.per_second) || notice.per_second < 0) {
    return false;
  }
  State* state = Refresh(notice.target, now);
  if (notice.target.start_time_ms < state->start_time_ms) {
    return false;
  }
  const Time at = now - std::chrono::milliseconds(notice.age_ms);
  const bool was_limited = state->is_limited;
  const double before = state->per_second;
  if (!notice.has_ended) {
    Apply(notice.per_second, at, now, state);
    state->told_per_second = state->per_second;
  } else if (at > state->stated_at) {
    state->is_limited = false;
    state->ended_at = std::max(state->ended_at, at);
  }
  return was_limited != state->is_limited || Differs(state->per_second, before);
}

void TargetLimits::UpdateShares(Time now) {
  if (!share_) {
    return;
  }
  for (auto& [id, state] : states_) {
    if (state.is_limited) {
      state.share = share_({id, state.start_time_ms});
      state.rate.SetShare(state.share, now);
    }
  }
}

std::optional<TargetLimits::Limit> TargetLimits::Find(
    const TargetInstance& target, Time now) const {
  const State* state = FindLimited(target);
  if (state == nullptr) {
    return std::nullopt;
  }
  return Limit{state->per_second, now - state->stated_at};
}

// VMs without a turn ask in rendezvous order, each at another moment.
Time TargetLimits::TrialAt(const State& state) {
  const Duration interval =
      std::max(kMinTrialInterval, kTrialInterval * state.share.overall);
  const Duration phase =
      interval * state.share.overall_rank / std::max(1, state.share.overall);
  return std::max(
      state.stated_at + kTrialAfter + phase,
      state.tried_at == Time() ? Time() : state.tried_at + interval);
}

Time TargetLimits::OpensAt(const State& state) {
  return std::min(state.rate.OpensAt(), TrialAt(state));
}

Time TargetLimits::OpensAt(const TargetInstance& target, Time now) const {
  const State* state = FindLimited(target);
  return state == nullptr ? now : OpensAt(*state);
}

double TargetLimits::OwnRate(const TargetInstance& target) const {
  const State* state = FindLimited(target);
  return state == nullptr ? 0 : state->rate.PerSecond();
}

double TargetLimits::MeanRate(const TargetInstance& target) const {
  const State* state = FindLimited(target);
  return state == nullptr
             ? 0
             : std::max(state->per_second, SharedRate::kMinPerSecond) /
                   std::max(1, state->share.overall);
}

void TargetLimits::Take(Time now, State* state) {
  if (now < state->rate.OpensAt()) {
    state->tried_at = now;
  }
  state->rate.OnSent(now);
}

void TargetLimits::OnPlaced(const TargetInstance& target, Time now) {
  State* state = FindLimited(target);
  if (state != nullptr) {
    Take(now, state);
  }
}

bool TargetLimits::ConfirmSend(const TargetInstance& target, bool is_counted,
                               Time now) {
  State* state = FindLimited(target);
  if (state == nullptr || is_counted) {
    return true;
  }
  if (now < OpensAt(*state)) {
    return false;
  }
  Take(now, state);
  return true;
}

void TargetLimits::SetListed(const std::vector<TargetInstance>& targets,
                             Time now) {
  listed_.clear();
  for (const TargetInstance& target : targets) {
    listed_.insert(target.id);
  }
  std::erase_if(states_, [&](const auto& item) {
    const State& state = item.second;
    const bool is_kept = state.is_limited && listed_.contains(item.first);
    return !is_kept &&
           now - std::max(state.stated_at, state.ended_at) > kKeepTime;
  });
}

std::vector<LimitNotice> TargetLimits::NoticesSince(Time since,
                                                    Time now) const {
  std::vector<LimitNotice> notices;
  for (const auto& [id, state] : states_) {
    if (state.news_at != Time() && state.news_at >= since) {
      notices.push_back(NoticeOf(id, state, now));
    }
  }
  return notices;
}

std::vector<LimitNotice> TargetLimits::AllNotices(Time now) const {
  std::vector<LimitNotice> notices;
  for (const auto& [id, state] : states_) {
    notices.push_back(NoticeOf(id, state, now));
  }
  return notices;
}

LimitNotice TargetLimits::NoticeOf(std::uint64_t id, const State& state,
                                   Time now) {
  const Time at = state.is_limited ? state.stated_at : state.ended_at;
  return {{id, state.start_time_ms},
          !state.is_limited,
          static_cast<float>(state.per_second),
          static_cast<std::uint32_t>(std::max(Duration(0), now - at) /
                                     std::chrono::milliseconds(1))};
}

int TargetLimits::LimitedCount() const {
  return static_cast<int>(
      std::count_if(states_.begin(), states_.end(),
                    [](const auto& item) { return item.second.is_limited; }));
}

// Ended limits go first, then those of targets without an entry.
void TargetLimits::EvictOldest() {
  const auto key = [this](const auto& item) {
    return std::make_tuple(item.second.is_limited, listed_.contains(item.first),
                           item.second.stated_at);
  };
  states_.erase(std::min_element(
      states_.begin(), states_.end(),
      [&key](const auto& a, const auto& b) { return key(a) < key(b); }));
}

}  // namespace hornbeamcleat
