#include "src/trial/move_trial.h"

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include "src/trial/trial_daemon.h"
#include "src/trial/trial_log.h"
#include "src/trial/trial_traffic.h"

namespace hornbeamcleat {
namespace {

constexpr std::array<const char*, kFaultKinds> kFaultNames = {
    "none",         "fails at once",           "fails late",
    "slow",         "slow under load",         "one route",
    "one in fifty", "one in fifty, one route", "fails in bake"};
constexpr std::array<const char*, kDisturbances> kDisturbanceNames = {
    "none",        "leader pause", "log outage",
    "entry kills", "all",          "log down at end"};

constexpr int kDaemons = 2;
constexpr std::int64_t kTicksPerSecond = std::chrono::seconds(1) / kTrialTick;
constexpr std::int64_t kSyncTicks = 5;
constexpr std::int64_t kMaxGossipTicks = 6;  // delay of a withdrawal
constexpr std::int64_t kLoadSeconds = 45;    // for each target in turn
constexpr std::int64_t kTakeoverSeconds = 11;
constexpr std::int64_t kRestartSeconds = 30;
constexpr std::int64_t kAfterEndSeconds = 5;
constexpr std::int64_t kOutageAfterSeconds = 300;  // after the deadline
constexpr int kKills = 3;
constexpr std::uint64_t kDisturbanceStream = 0x9e3779b97f4a7c15;

// Half-open range of ticks: [first, last).
struct TickRange {
  std::int64_t first = 0;
  std::int64_t last = 0;

  bool Contains(std::int64_t tick) const {
    return tick >= first && tick < last;
  }
};

struct EntryKill {
  int entry = 0;
  TickRange down;
};

class Trial {
 public:
  explicit Trial(const TrialSpec& spec);

  TrialResult Run();

 private:
  static MoveSpec MakeMoveSpec(const TrialSpec& spec);
  WallTime Now() const {
    return WallTime(
        std::chrono::floor<std::chrono::milliseconds>(tick_ * kTrialTick));
  }
  bool HasDisturbance(Disturbance disturbance) const {
    return spec_.disturbance == disturbance ||
           spec_.disturbance == Disturbance::kAll;
  }
  TickRange RandomRange(int min_seconds, int max_seconds);
  void PlanDisturbances();
  void ApplyDisturbances();
  bool IsRunning(int daemon) const;
  void TransferLease();
  int ReadyTargets() const;
  void SyncEntries();
  void EvaluateAll();
  void ApplyDecision(int daemon, const MoveDecision& decision);
  void Withdraw(const std::string& reason);
  void RunFixedSchedule();
  void AppendProgress(std::uint64_t fencing, const MoveState& state);
  bool AllEntriesKnowWithdrawal() const;
  void RecordProgress();
  bool IsFinished() const;
  TrialResult Result();

  TrialSpec spec_;
  std::mt19937_64 random_;
  std::int64_t tick_ = 0;
  std::int64_t deadline_tick_ = 0;
  TrialLog log_;
  TrialTraffic traffic_;
  std::vector<TrialDaemon> daemons_;
  int holder_ = 0;
  std::uint64_t fencing_ = 1;
  std::int64_t holder_last_running_ = 0;  ///< last tick at which the holder ran
  /// Fencing number of the lease term that each daemon believes it holds, or 0.
  std::array<std::uint64_t, kDaemons> known_fencing_{};
  TickRange pause_;
  TickRange outage_;
  std::vector<EntryKill> kills_;
  std::int64_t withdrawn_tick_ = -1;
  std::string withdraw_reason_;
  std::array<std::int64_t, kTrialEntries> withdrawal_known_ticks_{};
  /// Requests sent to the new version until 1 s after the withdrawal.
  std::uint64_t canary_requests_at_limit_ = 0;
  std::int64_t ended_tick_ = -1;
  TrialResult result_;
};

MoveSpec Trial::MakeMoveSpec(const TrialSpec& spec) {
  MoveSpec move;
  move.model = "llm";
  move.from_version = "v1";
  move.to_version = "v2";
  move.deadline =
      WallTime(std::chrono::floor<std::chrono::milliseconds>(spec.window));
  move.bake_time = spec.bake_time;
  return move;
}

Trial::Trial(const TrialSpec& spec)
    : spec_(spec),
      random_(spec.seed ^ kDisturbanceStream),
      deadline_tick_(spec.window / kTrialTick),
      log_(MakeMoveSpec(spec), WallTime()),
      traffic_(spec) {
  for (int n = 0; n < kDaemons; ++n) {
    daemons_.emplace_back(MakeMoveSpec(spec));
  }
  known_fencing_[holder_] = fencing_;
  PlanDisturbances();
}

TickRange Trial::RandomRange(int min_seconds, int max_seconds) {
  std::uniform_int_distribution<std::int64_t> begin(0, deadline_tick_);
  std::uniform_int_distribution<std::int64_t> length(min_seconds, max_seconds);
  const std::int64_t first = begin(random_);
  return {first, first + length(random_) * kTicksPerSecond};
}

void Trial::PlanDisturbances() {
  if (HasDisturbance(Disturbance::kLeaderPause)) {
    pause_ = RandomRange(60, 600);
  }
  if (HasDisturbance(Disturbance::kLogOutage)) {
    outage_ = RandomRange(60, 900);
  }
  if (spec_.disturbance == Disturbance::kLogDownAtEnd) {
    std::uniform_int_distribution<std::int64_t> begin(0, deadline_tick_ / 2);
    outage_ = {deadline_tick_ / 4 + begin(random_),
               deadline_tick_ + kOutageAfterSeconds * kTicksPerSecond};
  }
  if (!HasDisturbance(Disturbance::kEntryKills)) {
    return;
  }
  // The first kill hits entry 0, which runs the first lease holder.
  std::uniform_int_distribution<int> any(0, kTrialEntries - 1);
  for (int n = 0; n < kKills; ++n) {
    const int entry = n == 0 ? 0 : any(random_);
    kills_.push_back({entry, RandomRange(kRestartSeconds, kRestartSeconds)});
  }
}

void Trial::ApplyDisturbances() {
  log_.SetDown(outage_.Contains(tick_));
  for (const EntryKill& kill : kills_) {
    if (tick_ == kill.down.first) {
      traffic_.Kill(kill.entry);
    }
    if (tick_ == kill.down.last) {
      traffic_.Restart(kill.entry);
      withdrawal_known_ticks_[kill.entry] = tick_;
      if (kill.entry < kDaemons) {
        daemons_[kill.entry].Restart();
        known_fencing_[kill.entry] = 0;
      }
    }
  }
}

bool Trial::IsRunning(int daemon) const {
  const bool paused = daemon == 0 && pause_.Contains(tick_);
  const bool killed =
      std::any_of(kills_.begin(), kills_.end(), [&](const EntryKill& kill) {
        return kill.entry == daemon && kill.down.Contains(tick_);
      });
  return !paused && !killed;
}

// A daemon that is unaware of having lost the lease keeps appending with its
// old fencing number. The fold must reject these records.
void Trial::TransferLease() {
  if (IsRunning(holder_) && known_fencing_[holder_] == fencing_) {
    holder_last_running_ = tick_;
    return;
  }
  if (log_.Down() ||
      tick_ - holder_last_running_ < kTakeoverSeconds * kTicksPerSecond) {
    return;
  }
  for (int n = 0; n < kDaemons; ++n) {
    if (IsRunning(n)) {
      holder_ = n;
      fencing_ = log_.Next();
      known_fencing_[n] = fencing_;
      holder_last_running_ = tick_;
      return;
    }
  }
}

int Trial::ReadyTargets() const {
  return static_cast<int>(std::min<std::int64_t>(
      kTrialTargets, tick_ / (kLoadSeconds * kTicksPerSecond)));
}

void Trial::SyncEntries() {
  std::array<TrialEntry, kTrialEntries>& entries = traffic_.Entries();
  const MoveState state = log_.State();
  for (int n = 0; n < kTrialEntries; ++n) {
    if (withdrawn_tick_ >= 0 && tick_ >= withdrawal_known_ticks_[n]) {
      entries[n].withdrawn = true;
    }
    if ((tick_ + n) % kSyncTicks == 0) {
      entries[n].share = daemons_[holder_].Share(state);
    }
  }
}

void Trial::Withdraw(const std::string& reason) {
  if (withdrawn_tick_ >= 0) {
    return;
  }
  withdrawn_tick_ = tick_;
  withdraw_reason_ = reason;
  std::uniform_int_distribution<std::int64_t> delay(1, kMaxGossipTicks);
  for (std::int64_t& known_tick : withdrawal_known_ticks_) {
    known_tick = tick_ + delay(random_);
  }
}

void Trial::AppendProgress(std::uint64_t fencing, const MoveState& state) {
  MoveProgressRecord record;
  record.move = TrialLog::kMove;
  record.fencing = fencing;
  record.share_permille = state.share_permille;
  record.phase = MovePhaseName(state.phase);
  record.reason = state.reason;
  log_.Append(record, Now());
}

void Trial::ApplyDecision(int daemon, const MoveDecision& decision) {
  if (decision.withdraw) {
    Withdraw(decision.reason);
  }
  // A daemon that lost the lease while paused is unaware of it and appends.
  if (decision.advance && known_fencing_[daemon] != 0) {
    AppendProgress(known_fencing_[daemon], *decision.advance);
  }
}

void Trial::EvaluateAll() {
  for (int n = 0; n < kDaemons; ++n) {
    if (!IsRunning(n) || !daemons_[n].IsDue(Now())) {
      continue;
    }
    daemons_[n].CollectEvidence(&traffic_.Entries());
    ApplyDecision(n, daemons_[n].Evaluate(log_, ReadyTargets(),
                                          withdrawn_tick_ >= 0, Now()));
  }
  if (withdrawn_tick_ >= 0 && !log_.Withdrawn()) {
    log_.Append(WithdrawRecord{"llm", "v2", withdraw_reason_}, Now());
  }
}

void Trial::RunFixedSchedule() {
  constexpr std::array<int, 3> kShares = {100, 500, 1000};
  if (ReadyTargets() < kTrialTargets) {
    return;
  }
  const std::int64_t last =
      static_cast<std::int64_t>(kShares.size()) * tick_ / deadline_tick_;
  const MoveState now = log_.State();
  const bool done = tick_ >= deadline_tick_ - 1;
  const int share = done ? 1000 : kShares[static_cast<std::size_t>(last)];
  const MovePhase phase = done ? MovePhase::kDone : MovePhase::kGrowing;
  if (now.share_permille != share || now.phase != phase) {
    AppendProgress(1, {phase, share, Now(), "by time"});
  }
}

bool Trial::AllEntriesKnowWithdrawal() const {
  return withdrawn_tick_ >= 0 &&
         std::all_of(
             withdrawal_known_ticks_.begin(), withdrawal_known_ticks_.end(),
             [&](std::int64_t known_tick) { return tick_ >= known_tick; });
}

void Trial::RecordProgress() {
  const std::int64_t limit = withdrawn_tick_ + kTicksPerSecond;
  if (withdrawn_tick_ >= 0 && tick_ == limit) {
    canary_requests_at_limit_ = traffic_.CanaryRequests();
  }
  const MovePhase phase = log_.State().phase;
  const bool ended =
      phase == MovePhase::kDone || phase == MovePhase::kRolledBack;
  if (ended_tick_ < 0 && ended) {
    ended_tick_ = tick_;
    result_.requests = traffic_.Requests();
  }
  if (tick_ != deadline_tick_) {
    return;
  }
  result_.recorded = ended;
  result_.end = phase;
  if (!ended && AllEntriesKnowWithdrawal()) {
    result_.end = MovePhase::kRolledBack;
  }
}

bool Trial::IsFinished() const {
  return ended_tick_ >= 0 &&
         tick_ >= ended_tick_ + kAfterEndSeconds * kTicksPerSecond;
}

TrialResult Trial::Result() {
  if (ended_tick_ >= 0 && ended_tick_ <= deadline_tick_) {
    result_.recorded = true;
    result_.end = log_.State().phase;
  }
  if (result_.requests == 0) {
    result_.requests = traffic_.Requests();
  }
  result_.reason = log_.State().reason;
  result_.duration = (ended_tick_ >= 0 ? ended_tick_ : tick_) * kTrialTick;
  result_.fresh = traffic_.CanaryRequests();
  result_.after_fault = traffic_.CanaryRequestsAfterFault();
  result_.withdrawn = withdrawn_tick_ >= 0;
  const std::int64_t limit = withdrawn_tick_ + kTicksPerSecond;
  if (result_.withdrawn && tick_ > limit) {
    result_.after_withdrawal =
        traffic_.CanaryRequests() - canary_requests_at_limit_;
  }
  return result_;
}

TrialResult Trial::Run() {
  const std::int64_t last = std::max(deadline_tick_, outage_.last) +
                            kAfterEndSeconds * kTicksPerSecond;
  for (tick_ = 0; tick_ < last && !IsFinished(); ++tick_) {
    ApplyDisturbances();
    SyncEntries();
    traffic_.Run(tick_, log_.State().phase == MovePhase::kBaking);
    if (spec_.fixed_steps) {
      RunFixedSchedule();
    } else if (tick_ % kTicksPerSecond == 0) {
      TransferLease();
      EvaluateAll();
    }
    RecordProgress();
  }
  return Result();
}

}  // namespace

const char* FaultKindName(FaultKind kind) {
  return kFaultNames[static_cast<std::size_t>(kind)];
}

const char* DisturbanceName(Disturbance disturbance) {
  return kDisturbanceNames[static_cast<std::size_t>(disturbance)];
}

TrialResult RunTrial(const TrialSpec& spec) { return Trial(spec).Run(); }

}  // namespace hornbeamcleat
