#include "src/serving/cold_targets.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

constexpr int kMaxHolders = 3;
constexpr Duration kWindow = std::chrono::seconds(1);
/// Requests of one VM are counted over this much more than a window, since
/// clocks of VMs and targets advance differently.
constexpr Duration kWindowMargin = std::chrono::milliseconds(50);
constexpr double kRounding = 1e-9;
/// No record or service is cold for longer.
constexpr Duration kMaxColdTime = std::chrono::minutes(10);
/// Time for which a loss waits for a proof that the target is alive, if other
/// requests run there. A process takes longer to start again.
constexpr Duration kProofTime = std::chrono::milliseconds(250);
/// Two losses within this time have the same cause.
constexpr Duration kLossWindow = std::chrono::seconds(1);
/// Bytes that arrive within this time after a loss may have been sent before
/// it.
constexpr Duration kInFlightTime = std::chrono::milliseconds(50);
/// The end of a connection is read at most this much later than its last bytes.
constexpr Duration kEndDelay = std::chrono::milliseconds(20);
/// Interval of one VM's trials of a target that was lost and hasn't answered.
/// At most four VMs try.
constexpr Duration kTrialInterval = std::chrono::seconds(2);
/// A record that is read within this time after a loss or the end of an
/// evacuation may have been written before it.
constexpr Duration kRecordDelay = std::chrono::seconds(2);
/// VMs read the same record within this time, unless the store is slow.
constexpr Duration kSameRecordTime = std::chrono::milliseconds(500);
/// Time over which a target that has become warm is filled.
constexpr Duration kRampTime = std::chrono::milliseconds(400);
/// Longest interval between two ticks of a VM that isn't paused. Ticks come
/// every 250 ms at least.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(800);
/// Time that a VM takes after a pause to read its peers' messages.
constexpr Duration kCatchUpTime = std::chrono::milliseconds(300);
/// States of targets without an entry are kept for this time.
constexpr Duration kKeepTime = std::chrono::minutes(10);
constexpr std::size_t kMaxTargets = 8'192;

Duration AgeOf(std::uint32_t ms) {
  return std::min<Duration>(std::chrono::milliseconds(ms), kKeepTime);
}

std::uint32_t ToMs(Duration d) {
  return static_cast<std::uint32_t>(std::max(Duration(0), d) /
                                    std::chrono::milliseconds(1));
}

}  // namespace

const char* ColdCauseName(ColdCause cause) {
  switch (cause) {
    case ColdCause::kRecord:
      return "record";
    case ColdCause::kStart:
      return "start";
    case ColdCause::kLost:
      return "lost";
    case ColdCause::kEvacuation:
      return "evacuation";
  }
  return "unknown";
}

// A holder that spaces its requests by T and may send one half an interval
// early sends at most n in a second if 1 / T <= n - 1/2.
ColdTurns PlanColdTurns(double per_second, const ColdBounds& bounds, int vms) {
  constexpr double kMaxBound = 1e6;
  const double limit = per_second * bounds.overage + bounds.slack;
  const int bound = static_cast<int>(
      std::isfinite(limit) ? std::clamp(limit + kRounding, 1.0, kMaxBound) : 1);
  ColdTurns best;
  best.per_second = std::min(per_second, 0.5);
  const int most =
      std::clamp(static_cast<int>(std::ceil(std::min(per_second, 1e6))), 1,
                 std::clamp(vms, 1, kMaxHolders));
  for (int holders = most; holders > 0; --holders) {
    const int per_vm = bound / (holders + 1);
    const double rate = std::min(per_second, holders * (per_vm - 0.5));
    if (per_vm > 0 && (!best.has_spare || rate > best.per_second)) {
      best = {holders, true, per_vm, rate};
    }
  }
  return best;
}

void ColdTargets::SetServices(
    const std::map<std::string, ServiceSpec>& services) {
  services_.clear();
  for (const auto& [name, service] : services) {
    if (service.cold_per_second > 0) {
      services_.emplace(name, service);
    }
  }
  std::erase_if(states_, [this](const auto& item) {
    return !item.second.service.empty() && !HasService(item.second.service);
  });
  std::erase_if(listed_services_,
                [this](const std::string& name) { return !HasService(name); });
}

const ColdTargets::State* ColdTargets::Find(
    const TargetInstance& target) const {
  if (services_.empty()) {
    return nullptr;
  }
  const auto it = states_.find(target.id);
  return it == states_.end() || it->second.service.empty() ? nullptr
                                                           : &it->second;
}

ColdTargets::State* ColdTargets::FindOrAdd(std::uint64_t id, Time now) {
  if (states_.size() >= kMaxTargets && !states_.contains(id)) {
    EvictOldest();
  }
  State& state = states_[id];
  state.known_at = now;
  return &state;
}

ColdTargets::State* ColdTargets::FindListed(const ServingTarget& target,
                                            Time now) {
  if (!HasService(target.service)) {
    return nullptr;
  }
  State* state = FindOrAdd(Hash64(target.id), now);
  if (state->service.empty()) {
    state->id = target.id;
    state->service = target.service;
    state->start_time_ms = std::max(state->start_time_ms, target.start_time_ms);
  }
  return state;
}

Duration ColdTargets::ColdTime(const State& state) const {
  const auto it = services_.find(state.service);
  return it == services_.end()
             ? Duration(0)
             : std::clamp(it->second.cold_start, Duration(0), kMaxColdTime);
}

double ColdTargets::PerSecond(const State& state) const {
  const auto it = services_.find(state.service);
  return it == services_.end() ? 0 : it->second.cold_per_second;
}

void ColdTargets::OnNewStart(std::int64_t start_time_ms, State* state) {
  state->start_time_ms = start_time_ms;
  state->alive_from = state->alive_to = Time();
}

void ColdTargets::SetRecords(const std::vector<ServingTarget>& targets,
                             std::int64_t wall_ms, Time now) {
  for (auto& [id, state] : states_) {
    state.is_listed = false;
  }
  for (const ServingTarget& target : targets) {
    if (HasService(target.service)) {
      ApplyRecord(target, !listed_services_.contains(target.service), wall_ms,
                  now);
    }
  }
  for (const auto& [name, service] : services_) {
    listed_services_.insert(name);
  }
  std::erase_if(states_, [now](const auto& item) {
    return !item.second.is_listed && now - item.second.known_at > kKeepTime;
  });
}

void ColdTargets::ApplyRecord(const ServingTarget& target, bool is_first_list,
                              std::int64_t wall_ms, Time now) {
  const auto known = states_.find(Hash64(target.id));
  const bool is_new = known == states_.end() || known->second.service.empty();
  State* state = FindOrAdd(Hash64(target.id), now);
  state->is_listed = true;
  state->id = target.id;
  state->service = target.service;
  // A store that comes back from a copy may show an earlier entry.
  if (target.start_time_ms < state->start_time_ms ||
      (!is_new && target.read_at <= state->record_read_at &&
       target.start_time_ms == state->start_time_ms)) {
    return;
  }
  const bool is_new_start = target.start_time_ms > state->start_time_ms;
  const bool may_be_outdated = MayBeOutdated(target, is_new_start, *state);
  if (is_new_start) {
    OnNewStart(target.start_time_ms, state);
  }
  state->record_read_at = target.read_at;
  const Time before = state->cold_until;
  if (target.cold_remaining.has_value()) {
    const Time until =
        target.read_at + std::min(*target.cold_remaining, kMaxColdTime);
    state->cold_until =
        may_be_outdated ? std::max(state->cold_until, until) : until;
    if (state->is_lost && !may_be_outdated) {
      state->is_lost = false;
      state->loss_ended_at = now;
    }
    state->cause = ColdCause::kRecord;
  } else if ((is_new || is_new_start) && !is_first_list) {
    state->cold_until = now + ColdTime(*state);
    state->cause = ColdCause::kStart;
    state->is_lost = false;
  } else if (is_new && is_first_list && target.start_time_ms > 0) {
    const Duration age = std::chrono::milliseconds(std::clamp<std::int64_t>(
        wall_ms - target.start_time_ms, 0, ToMs(kMaxColdTime)));
    state->cold_until =
        std::max(state->cold_until, now + ColdTime(*state) - age);
    state->cause = ColdCause::kStart;
  }
  if (!IsCold(*state, now)) {
    return;
  }
  UpdateTurn(now, state);
  // VMs that read the store late are told by those that may hold turns.
  if (state->cold_until > now && state->cold_until > before + kRecordDelay &&
      state->order.position <= state->turns.holders) {
    Tell(now, state);
  }
}

bool ColdTargets::MayBeOutdated(const ServingTarget& target, bool is_new_start,
                                const State& state) {
  const bool states_cold = target.cold_remaining != Duration(0);
  return (state.is_lost && !(is_new_start && states_cold) &&
          target.read_at < state.lost_at + kRecordDelay) ||
         (state.evacuation_ended_at != Time() && !states_cold &&
          target.read_at < state.evacuation_ended_at + kRecordDelay);
}

void ColdTargets::OnLost(const ServingTarget& target, bool has_others,
                         Time now) {
  State* state = FindListed(target, now);
  if (state == nullptr) {
    return;
  }
  state->heard_at = Time();
  AddLoss(0, now, !has_others, now, state);
  Tell(now, state);
}

// Losses of the same process come from several connections at once, unless only
// one answer was broken.
void ColdTargets::AddLoss(std::uint64_t reporter, Time at, bool is_certain,
                          Time now, State* state) {
  if (at >= state->alive_from && at <= state->alive_to) {
    return;
  }
  const bool is_second = state->is_suspected &&
                         at - state->suspected_at < kLossWindow &&
                         (reporter == 0 || reporter != state->suspected_by);
  if (is_certain || is_second) {
    Confirm(at, state);
    UpdateTurn(now, state);
    return;
  }
  if (!state->is_suspected) {
    state->is_suspected = true;
    state->suspected_at = at;
    state->suspected_by = reporter;
    state->proof_due = now + kProofTime;
  }
}

void ColdTargets::Confirm(Time at, State* state) {
  state->is_suspected = false;
  if (!state->is_lost || at > state->lost_at) {
    state->is_lost = true;
    state->lost_at = at;
    if (state->answered_at <= at) {
      state->answered_at = Time();
    }
  }
}

void ColdTargets::OnHeard(const ServingTarget& target, Time sent, Time now) {
  if (services_.empty()) {
    return;
  }
  State* state = Find(TargetInstance::Of(target));
  if (state == nullptr || (!state->is_suspected && !state->is_lost)) {
    return;
  }
  const Time lost_at =
      state->is_suspected ? state->suspected_at : state->lost_at;
  ApplyHeard(now, state);
  if (sent < lost_at && now >= lost_at + kInFlightTime &&
      state->heard_at == Time()) {
    state->heard_at = now;
    state->heard_sent = sent;
  }
}

// A slow VM may read the last bytes of a connection long after its end, and the
// end right after them.
void ColdTargets::ApplyHeard(Time now, State* state) {
  if (state->heard_at == Time() || now - state->heard_at < kEndDelay) {
    return;
  }
  AddProof(state->heard_sent, state->heard_at - kInFlightTime, state);
  state->heard_at = Time();
  Tell(now, state);
}

void ColdTargets::AddProof(Time from, Time to, State* state) {
  if (to <= from) {
    return;
  }
  has_changed_ = true;
  state->alive_from = from;
  state->alive_to = to;
  if (state->is_suspected && state->suspected_at >= from &&
      state->suspected_at <= to) {
    state->is_suspected = false;
  }
  if (state->is_lost && state->lost_at >= from && state->lost_at <= to) {
    state->is_lost = false;
  }
}

void ColdTargets::OnAnswered(const ServingTarget& target, Time sent, Time now) {
  State* state = Find(TargetInstance::Of(target));
  if (state == nullptr || !state->is_lost || state->answered_at != Time() ||
      sent <= state->lost_at) {
    return;
  }
  state->answered_at = now;
  Tell(now, state);
}

void ColdTargets::OnHealth(const ServingTarget& target, Duration left,
                           Time sent, Time now) {
  State* state = FindListed(target, now);
  if (state == nullptr || sent <= state->lost_at) {
    return;
  }
  state->cold_until = now + std::clamp(left, Duration(0), kMaxColdTime);
  state->cause = ColdCause::kRecord;
  if (state->is_lost) {
    state->is_lost = false;
    state->loss_ended_at = now;
  }
  UpdateTurn(now, state);
}

void ColdTargets::OnEvacuationEnded(const ServingTarget& target, Time now) {
  State* state = FindListed(target, now);
  if (state == nullptr) {
    return;
  }
  state->evacuation_ended_at = now;
  state->cold_until = std::max(state->cold_until, now + ColdTime(*state));
  state->cause = ColdCause::kEvacuation;
  UpdateTurn(now, state);
}

void ColdTargets::OnNotice(std::uint64_t reporter, const ColdNotice& notice,
                           bool has_others, Time now) {
  if (services_.empty()) {
    return;
  }
  State* state = FindOrAdd(notice.target.id, now);
  if (notice.target.start_time_ms < state->start_time_ms) {
    return;
  }
  const bool was_cold = IsCold(*state, now);
  const bool is_new_start = notice.target.start_time_ms > state->start_time_ms;
  if (is_new_start) {
    OnNewStart(notice.target.start_time_ms, state);
  }
  if (notice.cold_ms > 0) {
    const Time until = now + std::min(AgeOf(notice.cold_ms), kMaxColdTime);
    // The peer has read a later record, not the same one at about the same
    // time.
    const Time read_at = now - AgeOf(notice.record_age_ms);
    if (is_new_start || state->record_read_at == Time() ||
        read_at > state->record_read_at + kSameRecordTime) {
      state->cold_until = std::max(state->cold_until, until);
      state->cause = ColdCause::kRecord;
    }
  }
  if (notice.alive_span_ms > 0) {
    const Time to = now - AgeOf(notice.alive_age_ms);
    AddProof(to - AgeOf(notice.alive_span_ms), to, state);
  }
  if (notice.loss != ColdNotice::kNoLoss) {
    const Time at = now - AgeOf(notice.loss_age_ms);
    // What a record or a health response has ended is not news.
    const bool is_ended = at <= state->loss_ended_at && !state->is_lost;
    const bool is_known = state->is_lost && at <= state->lost_at + kProofTime;
    if (!is_ended && !is_known) {
      AddLoss(reporter, at, notice.loss == ColdNotice::kLost && !has_others,
              now, state);
    }
    if (state->is_lost && notice.has_answer) {
      const Time answered = now - AgeOf(notice.answer_age_ms);
      if (answered > state->lost_at && state->answered_at == Time()) {
        state->answered_at = answered;
      }
    }
  }
  if (!was_cold && IsCold(*state, now)) {
    UpdateTurn(now, state);
  }
}

void ColdTargets::OnTick(Time now) {
  if (ticked_at_ != Time() && now - ticked_at_ > kMaxTickGap) {
    HoldUntil(now + kCatchUpTime);
  }
  ticked_at_ = std::max(ticked_at_, now);
}

void ColdTargets::Update(Time now) {
  OnTick(now);
  for (auto& [id, state] : states_) {
    ApplyHeard(now, &state);
    if (state.is_suspected && now >= state.proof_due) {
      Confirm(state.suspected_at, &state);
      Tell(now, &state);
    }
    if (IsCold(state, now)) {
      UpdateTurn(now, &state);
    }
  }
}

void ColdTargets::UpdateTurn(Time now, State* state) {
  has_changed_ = true;
  if (!order_ || state->service.empty()) {
    return;
  }
  state->order = order_({Hash64(state->id), state->start_time_ms});
  state->turns = PlanColdTurns(PerSecond(*state), bounds_, state->order.vms);
  const bool is_holder = state->order.position < state->turns.holders ||
                         (state->turns.has_spare &&
                          state->order.position == state->turns.holders &&
                          state->order.has_silent_before);
  VmShare share;
  share.takes_part = state->order.takes_part && is_holder;
  share.rank = std::min(state->order.position, state->turns.holders - 1);
  share.heard = share.registered = share.overall = state->turns.holders;
  share.overall_rank = share.rank;
  state->rate.SetShare(share, now);
  state->rate.SetTotal(state->turns.per_second, now);
}

// Until a lost target has answered, its end isn't known.
Time ColdTargets::ColdEnd(const State& state, Time now) const {
  Time end = state.cold_until;
  if (state.is_lost) {
    const Time from = state.answered_at == Time() ? now : state.answered_at;
    end = std::max(end, from + ColdTime(state));
  }
  return end;
}

bool ColdTargets::IsCold(const State& state, Time now) const {
  return (state.is_lost && state.answered_at == Time()) ||
         now < ColdEnd(state, now);
}

bool ColdTargets::IsCold(const TargetInstance& target, Time now) const {
  const State* state = Find(target);
  return state != nullptr && IsCold(*state, now);
}

// VMs return to a target that has become warm one after the other.
Time ColdTargets::RampStart(const State& state, Time now) const {
  const Time end = std::max(ColdEnd(state, now), state.loss_ended_at);
  return end + kRampTime * state.order.position / std::max(1, state.order.vms);
}

Time ColdTargets::OpensAt(const State& state, Time now) const {
  const Time start = RampStart(state, now);
  if (!IsCold(state, now)) {
    return std::max({now, held_until_, start});
  }
  const Time turn = state.rate.OpensAt();
  return std::max(held_until_, turn == Time::max() ? start : turn);
}

Time ColdTargets::OpensAt(const TargetInstance& target, Time now) const {
  const State* state = Find(target);
  return state == nullptr ? now : OpensAt(*state, now);
}

int ColdTargets::FreeSlots(const TargetInstance& target, int slots, int free,
                           Time now) const {
  const State* state = Find(target);
  if (state == nullptr) {
    return free;
  }
  if (OpensAt(*state, now) > now) {
    return 0;
  }
  if (IsCold(*state, now)) {
    return std::min(1, free);
  }
  const Duration warm_for =
      now - std::max(ColdEnd(*state, now), state->loss_ended_at);
  if (warm_for >= kRampTime) {
    return free;
  }
  const int closed = static_cast<int>(
      slots * (1 - ToSeconds(warm_for) / ToSeconds(kRampTime)));
  return std::max(0, free - closed);
}

std::optional<double> ColdTargets::RateOf(const TargetInstance& target,
                                          Time now) const {
  const State* state = Find(target);
  return state != nullptr && IsCold(*state, now)
             ? std::optional<double>(state->turns.per_second)
             : std::nullopt;
}

double ColdTargets::OwnRate(const TargetInstance& target) const {
  const State* state = Find(target);
  return state == nullptr ? 0 : state->rate.PerSecond();
}

double ColdTargets::MeanRate(const TargetInstance& target) const {
  const State* state = Find(target);
  return state == nullptr
             ? 0
             : state->turns.per_second / std::max(1, state->order.vms);
}

void ColdTargets::OnPlaced(const TargetInstance& target, Time now) {
  State* state = Find(target);
  if (state != nullptr && IsCold(*state, now)) {
    state->rate.OnSent(now);
    state->tried_at = now;
  }
}

bool ColdTargets::NeedsTrial(const TargetInstance& target, Time now) const {
  const State* state = Find(target);
  return state != nullptr && state->is_lost && state->answered_at == Time() &&
         now - std::max(state->lost_at, state->tried_at) >= kTrialInterval &&
         now >= OpensAt(target, now);
}

bool ColdTargets::ConfirmSend(const TargetInstance& target, bool is_counted,
                              Time now) {
  OnTick(now);
  State* state = Find(target);
  if (state == nullptr) {
    return true;
  }
  if (now < held_until_) {
    return false;
  }
  if (!IsCold(*state, now)) {
    return true;
  }
  while (!state->sends.empty() &&
         state->sends.front() <= now - kWindow - kWindowMargin) {
    state->sends.pop_front();
  }
  if (state->rate.PerSecond() <= 0 ||
      static_cast<int>(state->sends.size()) >= state->turns.per_vm ||
      (!is_counted && now < state->rate.OpensAt())) {
    return false;
  }
  if (!is_counted) {
    state->rate.OnSent(now);
  }
  state->sends.push_back(now);
  return true;
}

void ColdTargets::Tell(Time now, State* state) {
  state->news_at = now;
  has_news_ = true;
}

ColdNotice ColdTargets::NoticeOf(std::uint64_t id, const State& state,
                                 Time now) {
  ColdNotice notice;
  notice.target = {id, state.start_time_ms};
  notice.cold_ms = ToMs(state.cold_until - now);
  notice.record_age_ms = ToMs(std::min(kKeepTime, now - state.record_read_at));
  if (state.is_lost) {
    notice.loss = ColdNotice::kLost;
    notice.loss_age_ms = ToMs(now - state.lost_at);
    notice.has_answer = state.answered_at != Time();
    notice.answer_age_ms =
        notice.has_answer ? ToMs(now - state.answered_at) : 0;
  } else if (state.is_suspected && state.suspected_by == 0) {
    notice.loss = ColdNotice::kSuspected;
    notice.loss_age_ms = ToMs(now - state.suspected_at);
  }
  if (state.alive_to != Time() && now - state.alive_to < kKeepTime) {
    notice.alive_age_ms = ToMs(now - state.alive_to);
    notice.alive_span_ms = ToMs(state.alive_to - state.alive_from);
  }
  return notice;
}

std::vector<ColdNotice> ColdTargets::NoticesSince(Time since, Time now) const {
  std::vector<ColdNotice> notices;
  for (const auto& [id, state] : states_) {
    if (state.news_at != Time() && state.news_at >= since) {
      notices.push_back(NoticeOf(id, state, now));
    }
  }
  return notices;
}

std::vector<ColdNotice> ColdTargets::AllNotices(Time now) const {
  std::vector<ColdNotice> notices;
  for (const auto& [id, state] : states_) {
    if (IsCold(state, now) || state.is_suspected) {
      notices.push_back(NoticeOf(id, state, now));
    }
  }
  return notices;
}

std::vector<ColdTargets::Event> ColdTargets::TakeEvents(Time now) {
  std::vector<Event> events;
  for (auto& [id, state] : states_) {
    const bool is_cold = !state.id.empty() && IsCold(state, now);
    if (is_cold == state.was_cold) {
      continue;
    }
    state.was_cold = is_cold;
    events.push_back({state.id, is_cold, ColdEnd(state, now) - now,
                      state.is_lost ? ColdCause::kLost : state.cause,
                      state.rate.PerSecond()});
  }
  return events;
}

int ColdTargets::ColdCount(Time now) const {
  return static_cast<int>(
      std::count_if(states_.begin(), states_.end(), [&](const auto& item) {
        return item.second.is_listed && IsCold(item.second, now);
      }));
}

// Targets without an entry go first.
void ColdTargets::EvictOldest() {
  const auto key = [](const auto& item) {
    return std::make_tuple(item.second.is_listed, item.second.known_at);
  };
  states_.erase(std::min_element(
      states_.begin(), states_.end(),
      [&key](const auto& a, const auto& b) { return key(a) < key(b); }));
}

}  // namespace hornbeamcleat
