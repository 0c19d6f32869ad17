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

constexpr int kWitnesses = 2;
constexpr std::int64_t kTicksPerSecond = std::chrono::seconds(1) / kTrialTick;
constexpr std::int64_t kSyncTicks = 5;
constexpr std::int64_t kGossipTicks = 6;   // longest way of a withdrawal
constexpr std::int64_t kLoadSeconds = 45;  // of one target
constexpr std::int64_t kTakeoverSeconds = 11;
constexpr std::int64_t kRestartSeconds = 30;
constexpr std::int64_t kAfterEndSeconds = 5;
constexpr std::int64_t kOutageAfterSeconds = 300;  // after the deadline
constexpr int kKills = 3;
constexpr std::uint64_t kDisturbanceStream = 0x9e3779b97f4a7c15;

// Span of ticks, from first to before last.
struct Span {
  std::int64_t first = 0;
  std::int64_t last = 0;

  bool Holds(std::int64_t tick) const { return tick >= first && tick < last; }
};

struct KillSpan {
  int entry = 0;
  Span down;
};

class Trial {
 public:
  explicit Trial(const TrialSpec& spec);

  TrialResult Run();

 private:
  static MoveSpec MoveOf(const TrialSpec& spec);
  WallTime Now() const {
    return WallTime(
        std::chrono::floor<std::chrono::milliseconds>(tick_ * kTrialTick));
  }
  bool Has(Disturbance disturbance) const {
    return spec_.disturbance == disturbance ||
           spec_.disturbance == Disturbance::kAll;
  }
  Span RandomSpan(int min_seconds, int max_seconds);
  void PlanDisturbances();
  void Disturb();
  bool Running(int daemon) const;
  void MoveLease();
  int ReadyTargets() const;
  void SyncEntries();
  void LookAll();
  void Act(int daemon, const MoveDecision& decision);
  void Withdraw(const std::string& reason);
  void StepByTime();
  void AppendProgress(std::uint64_t fencing, const MoveState& state);
  bool AllKnowWithdrawal() const;
  void Note();
  bool Finished() const;
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
  std::int64_t holder_seen_ = 0;  ///< last tick at which the holder ran
  /// Fencing number of the term that each daemon believes to hold; 0: none.
  std::array<std::uint64_t, kWitnesses> known_fencing_{};
  Span pause_;
  Span outage_;
  std::vector<KillSpan> kills_;
  std::int64_t withdrawn_tick_ = -1;
  std::string withdraw_reason_;
  std::array<std::int64_t, kTrialEntries> knows_at_{};
  std::uint64_t fresh_at_limit_ = 0;  ///< dispatched until 1 s after withdrawal
  std::int64_t ended_tick_ = -1;
  TrialResult result_;
};

MoveSpec Trial::MoveOf(const TrialSpec& spec) {
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
      log_(MoveOf(spec), WallTime()),
      traffic_(spec) {
  for (int n = 0; n < kWitnesses; ++n) {
    daemons_.emplace_back(MoveOf(spec));
  }
  known_fencing_[holder_] = fencing_;
  PlanDisturbances();
}

Span Trial::RandomSpan(int min_seconds, int max_seconds) {
  std::uniform_int_distribution<std::int64_t> begin(0, deadline_tick_);
  std::uniform_int_distribution<std::int64_t> length(min_seconds, max_seconds);
  const std::int64_t first = begin(random_);
  return {first, first + length(random_) * kTicksPerSecond};
}

void Trial::PlanDisturbances() {
  if (Has(Disturbance::kLeaderPause)) {
    pause_ = RandomSpan(60, 600);
  }
  if (Has(Disturbance::kLogOutage)) {
    outage_ = RandomSpan(60, 900);
  }
  if (spec_.disturbance == Disturbance::kLogDownAtEnd) {
    std::uniform_int_distribution<std::int64_t> begin(0, deadline_tick_ / 2);
    outage_ = {deadline_tick_ / 4 + begin(random_),
               deadline_tick_ + kOutageAfterSeconds * kTicksPerSecond};
  }
  if (!Has(Disturbance::kEntryKills)) {
    return;
  }
  // The first one takes the lease's first holder with it.
  std::uniform_int_distribution<int> any(0, kTrialEntries - 1);
  for (int n = 0; n < kKills; ++n) {
    const int entry = n == 0 ? 0 : any(random_);
    kills_.push_back({entry, RandomSpan(kRestartSeconds, kRestartSeconds)});
  }
}

void Trial::Disturb() {
  log_.SetDown(outage_.Holds(tick_));
  for (const KillSpan& kill : kills_) {
    if (tick_ == kill.down.first) {
      traffic_.Kill(kill.entry);
    }
    if (tick_ == kill.down.last) {
      traffic_.Restart(kill.entry);
      knows_at_[kill.entry] = tick_;
      if (kill.entry < kWitnesses) {
        daemons_[kill.entry].Restart();
        known_fencing_[kill.entry] = 0;
      }
    }
  }
}

bool Trial::Running(int daemon) const {
  const bool paused = daemon == 0 && pause_.Holds(tick_);
  const bool killed =
      std::any_of(kills_.begin(), kills_.end(), [&](const KillSpan& kill) {
        return kill.entry == daemon && kill.down.Holds(tick_);
      });
  return !paused && !killed;
}

// A daemon that lost its term without noticing keeps its old fencing number
// and appends with it; the fold must drop that.
void Trial::MoveLease() {
  if (Running(holder_) && known_fencing_[holder_] == fencing_) {
    holder_seen_ = tick_;
    return;
  }
  if (log_.Down() ||
      tick_ - holder_seen_ < kTakeoverSeconds * kTicksPerSecond) {
    return;
  }
  for (int n = 0; n < kWitnesses; ++n) {
    if (Running(n)) {
      holder_ = n;
      fencing_ = log_.Next();
      known_fencing_[n] = fencing_;
      holder_seen_ = tick_;
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
    if (withdrawn_tick_ >= 0 && tick_ >= knows_at_[n]) {
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
  std::uniform_int_distribution<std::int64_t> way(1, kGossipTicks);
  for (std::int64_t& knows : knows_at_) {
    knows = tick_ + way(random_);
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

void Trial::Act(int daemon, const MoveDecision& decision) {
  if (decision.withdraw) {
    Withdraw(decision.reason);
  }
  // A daemon that lost its term while paused still believes in it.
  if (decision.advance && known_fencing_[daemon] != 0) {
    AppendProgress(known_fencing_[daemon], *decision.advance);
  }
}

void Trial::LookAll() {
  for (int n = 0; n < kWitnesses; ++n) {
    if (!Running(n) || !daemons_[n].Due(Now())) {
      continue;
    }
    daemons_[n].Hear(&traffic_.Entries());
    Act(n, daemons_[n].Look(log_, ReadyTargets(), withdrawn_tick_ >= 0, Now()));
  }
  if (withdrawn_tick_ >= 0 && !log_.Withdrawn()) {
    log_.Append(WithdrawRecord{"llm", "v2", withdraw_reason_}, Now());
  }
}

void Trial::StepByTime() {
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

bool Trial::AllKnowWithdrawal() const {
  return withdrawn_tick_ >= 0 &&
         std::all_of(knows_at_.begin(), knows_at_.end(),
                     [&](std::int64_t knows) { return tick_ >= knows; });
}

void Trial::Note() {
  const std::int64_t limit = withdrawn_tick_ + kTicksPerSecond;
  if (withdrawn_tick_ >= 0 && tick_ == limit) {
    fresh_at_limit_ = traffic_.Fresh();
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
  if (!ended && AllKnowWithdrawal()) {
    result_.end = MovePhase::kRolledBack;
  }
}

bool Trial::Finished() const {
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
  result_.fresh = traffic_.Fresh();
  result_.after_fault = traffic_.AfterFault();
  result_.withdrawn = withdrawn_tick_ >= 0;
  const std::int64_t limit = withdrawn_tick_ + kTicksPerSecond;
  if (result_.withdrawn && tick_ > limit) {
    result_.after_withdrawal = traffic_.Fresh() - fresh_at_limit_;
  }
  return result_;
}

TrialResult Trial::Run() {
  const std::int64_t last = std::max(deadline_tick_, outage_.last) +
                            kAfterEndSeconds * kTicksPerSecond;
  for (tick_ = 0; tick_ < last && !Finished(); ++tick_) {
    Disturb();
    SyncEntries();
    traffic_.Run(tick_, log_.State().phase == MovePhase::kBaking);
    if (spec_.fixed_steps) {
      StepByTime();
    } else if (tick_ % kTicksPerSecond == 0) {
      MoveLease();
      LookAll();
    }
    Note();
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
