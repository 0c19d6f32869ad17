#include "src/relay/relay.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/relay/admin_pages.h"
#include "src/relay/exchange.h"
#include "src/relay/listener.h"
#include "src/relay/peer_link.h"
#include "src/relay/peer_reporter.h"
#include "src/relay/request_log.h"
#include "src/relay/target_pool.h"
#include "src/schedule/retry_budget.h"
#include "src/serving/scale_plan.h"
#include "src/serving/version_moves.h"
#include "src/serving/vm_directory.h"

namespace hornbeamcleat {
namespace {

/// Several heartbeats and a lost datagram.
constexpr Duration kPeerSilence = std::chrono::milliseconds(900);
constexpr Duration kCallerSilence = std::chrono::milliseconds(1'300);
/// Longer than a VM takes to start anew or to wake from a suspension.
constexpr Duration kGoneSilence = std::chrono::seconds(20);
/// Decisions are taken again this often while requests wait.
constexpr Duration kDecisionPeriod = std::chrono::milliseconds(20);
constexpr Duration kHousekeeping = std::chrono::milliseconds(250);
/// From SIGTERM on: new requests are served this long, since callers still hold
/// this VM's address, then turned away.
constexpr Duration kServeWhileDraining = std::chrono::milliseconds(2'500);
/// Least time from SIGTERM to the exit; callers keep addresses that long.
constexpr Duration kLeastDrain = std::chrono::milliseconds(3'500);
/// Time kept for the exit itself before the process would be killed.
constexpr Duration kExitMargin = std::chrono::milliseconds(300);
/// Part of the process's memory that requests' bodies may take.
constexpr std::size_t kBodyShare = 4;
/// Connections of callers that read nothing are ended after this time.
constexpr Duration kCallerSilenceLimit = std::chrono::seconds(5);
/// Retries that each VM may save up at least.
constexpr double kLeastSavedRetries = 2;
/// Part of the retry bound that is used: VMs that restart save up anew.
constexpr double kRetryShare = 0.5;

const Logger& Log() {
  static const Logger log("relay");
  return log;
}

class LiveRelay : public Relay, private ExchangeHost {
 public:
  LiveRelay(PollLoop* loop, const Clock* clock, const Dialect* dialect,
            Metrics* metrics, const RelayOptions& options, Wishes wishes)
      : loop_(loop),
        clock_(clock),
        dialect_(dialect),
        metrics_(metrics),
        options_(options),
        wishes_(std::move(wishes)),
        self_{options.link.ToString(), options.front.ToString(),
              options.failure_domain},
        directory_(self_, {kPeerSilence, kCallerSilence, kGoneSilence}),
        desk_(options.admission),
        line_(&board_),
        moves_(options.moves),
        pool_(clock),
        front_(loop, clock, options.front, options.max_connections,
               FrontOwner()),
        pages_(loop, clock, dialect, metrics, options, BaseOwner(),
               {[this] { return IsReady(); },
                [this](const std::string& domain) {
                  return directory_.CallerAddresses(domain, IsReady(),
                                                    clock_->Now());
                }}),
        link_(PeerLink::Open(
            loop, options.link,
            [this](const PeerState& state) { OnPeerState(state); })),
        reporter_(loop, clock, link_.get(), self_,
                  {&desk_, &board_, &line_, &moves_, &directory_,
                   [this] { return IsReady(); }}) {
    const Time now = clock_->Now();
    desk_.Quotas()->SetSlack(options.quota_slack);
    desk_.Quotas()->SetStart(now);
    housekeeping_ = loop_->Timers()->Every(now + kHousekeeping, kHousekeeping,
                                           [this](Time) { Housekeep(); });
  }

  ~LiveRelay() override { *alive_ = false; }

  void SetConfig(std::shared_ptr<const RouteTable> table) override {
    const std::int64_t version = table->Config().version;
    if (desk_.SetTable(std::move(table))) {
      Log().Info("event=config_in_force version={}", version);
      metrics_->Set("config_version", "kind", "in_force",
                    static_cast<double>(version));
    }
  }

  void OnConfirmed(Time sent) override {
    desk_.OnConfirmed(sent);
    CheckReady();
  }

  void SetTargets(const std::vector<ServingTarget>& targets) override {
    board_.SetTargets(targets, clock_->Now());
    Decide();
  }

  void SetMembers(const std::vector<VmRecord>& members) override {
    directory_.SetMembers(members, clock_->Now());
    OnMembership();
    Log().Info("event=members count={}", directory_.Members());
    reporter_.TellAll();
  }

  void SetMoves(const std::vector<MoveOrder>& orders,
                const std::vector<MoveRecord>& records) override {
    moves_.SetMoves(orders, records, clock_->Now(), clock_->WallNow());
    DecideMoves();
  }

  void SetOptions(const RelayOptions& options) override {
    options_.grace = options.grace;
    pages_.SetDirectoryKeep(options.directory_keep);
    options_.retry_ratio = options.retry_ratio;
    options_.retry_slack = options.retry_slack;
    options_.admission = options.admission;
    desk_.SetOptions(options.admission);
    desk_.Quotas()->SetSlack(options.quota_slack);
  }

  void Drain() override {
    if (drain_since_.has_value()) {
      return;
    }
    drain_since_ = clock_->Now();
    Log().Info("event=drain in_flight={}", front_.Busy());
    CheckReady();
    reporter_.TellAll();
  }

  bool Drained() const override {
    if (!drain_since_.has_value()) {
      return false;
    }
    const Duration since = clock_->Now() - *drain_since_;
    return since > options_.grace - kExitMargin ||
           (since > kLeastDrain && front_.Busy() == 0);
  }

  Address Front() const override { return front_.Bound(); }

  VmRecord Self() const override { return self_; }

 private:
  // ExchangeHost:
  PollLoop* Loop() override { return loop_; }
  const Clock* GetClock() override { return clock_; }
  const Dialect* GetDialect() override { return dialect_; }
  AdmissionController* Desk() override { return &desk_; }
  TargetBalancer* Board() override { return &board_; }
  WaitQueue* Line() override { return &line_; }
  TargetPool* Pool() override { return &pool_; }
  VersionMoves* Moves() override { return &moves_; }
  RequestLog* GetLog() override { return &request_log_; }
  Metrics* GetMetrics() override { return metrics_; }
  const std::string& FailureDomain() override {
    return options_.failure_domain;
  }
  bool TurnsAway() override {
    return drain_since_.has_value() &&
           clock_->Now() - *drain_since_ > kServeWhileDraining;
  }
  bool TakeRetry(const std::string& service) override {
    return Budget(service).Take();
  }
  void OnFirstAttempt(const std::string& service) override {
    Budget(service).OnFirstAttempt();
  }
  void SetWaiting(std::uint64_t number, Exchange* exchange) override {
    if (exchange == nullptr) {
      waiting_.erase(number);
    } else {
      waiting_[number] = exchange;
    }
  }
  std::uint64_t NextNumber() override { return next_number_++; }

  void RequestDecisions() override {
    if (decisions_requested_) {
      return;
    }
    decisions_requested_ = true;
    loop_->Post([this, alive = alive_] {
      if (*alive) {
        decisions_requested_ = false;
        Decide();
      }
    });
  }

  RetryBudget& Budget(const std::string& service) {
    const double members = directory_.Members();
    return budgets_
        .try_emplace(service, options_.retry_ratio * kRetryShare,
                     std::max(kLeastSavedRetries,
                              options_.retry_slack * kRetryShare / members))
        .first->second;
  }

  void Decide() {
    const std::vector<WaitDecision> decisions = line_.Decide(clock_->Now());
    for (const WaitDecision& decision : decisions) {
      const auto it = waiting_.find(decision.id);
      if (it != waiting_.end()) {
        it->second->OnDecision(decision);
      }
    }
    decision_timer_.reset();
    if (!waiting_.empty()) {
      decision_timer_ = loop_->Timers()->At(clock_->Now() + kDecisionPeriod,
                                            [this](Time) { Decide(); });
    }
    reporter_.TellSoon();
  }

  void OnPeerState(const PeerState& state) {
    const Time now = clock_->Now();
    if (!directory_.OnState(state, now)) {
      return;
    }
    if (state.has_load) {
      board_.SetPeerLoad(state.link, state.uses, now);
    }
    OnMembership();
    const bool is_near =
        !plan_.is_domain_scoped || directory_.IsLocalDomainLink(state.link);
    // Queues of other domains are too old to wait for.
    if (is_near && state.has_load) {
      line_.SetPeerQueues(state.link, state.queues, now);
    }
    desk_.Quotas()->SetPeerUsage(
        state.link, {state.incarnation, state.has_all_quotas, is_near},
        state.quotas);
    if (state.details.has_value()) {
      board_.SetPeerStats(state.link, state.details->findings);
      moves_.SetPeerCounts(state.link, state.incarnation,
                           state.details->versions);
      peer_losses_[state.link] = state.details->losses;
      TakePeerLosses();
    }
    if (!waiting_.empty()) {
      RequestDecisions();
    }
  }

  void OnMembership() {
    const int members = directory_.Members();
    desk_.Quotas()->SetMembers(members, plan_.is_domain_scoped
                                            ? directory_.LocalDomainSize()
                                            : members);
    const ScalePlan plan =
        PlanForScale(members, directory_.LocalDomainSize(),
                     options_.admission.key_limit, options_.leave_time);
    if (plan == plan_) {
      return;
    }
    plan_ = plan;
    reporter_.SetPlan(plan);
    directory_.SetRemoteTimeoutFactor(plan.remote_timeout_factor);
    board_.SetCandidateShare(plan.candidate_share);
    board_.SetRemoteDomainCost(plan.remote_domain_cost_ms);
    wishes_.on_scale(plan);
  }

  void DecideMoves() {
    const std::vector<MoveOrder> orders = moves_.Orders();
    if (orders.empty() && !has_version_rules_) {
      return;
    }
    std::map<std::string, VersionMoves::SideCapacity> sides;
    for (const MoveOrder& order : orders) {
      VersionMoves::SideCapacity& side = sides[order.service];
      side.new_slots = board_.SlotsOf(order.service, order.version, true);
      side.old_slots = board_.SlotsOf(order.service, order.version, false);
      side.old_running = board_.RunningOf(order.service, order.version, false);
    }
    const Time now = clock_->Now();
    VersionMoves::Decisions decisions =
        moves_.Decide(sides, directory_.IsLeader(now), now, clock_->WallNow());
    for (const std::string& note : decisions.log_lines) {
      Log().Info("{}", note);
    }
    for (const MoveRecord& record : decisions.records) {
      wishes_.record_move(record);
    }
    has_version_rules_ = !decisions.rules.empty();
    board_.SetVersionRules(std::move(decisions.rules));
  }

  void TakePeerLosses() {
    std::map<std::uint64_t, int> sum;
    for (const auto& [link, losses] : peer_losses_) {
      for (const ContentLoss& loss : losses) {
        sum[loss.fingerprint] += static_cast<int>(loss.losses);
      }
    }
    desk_.Poison()->SetPeers(sum);
  }

  bool IsReady() const {
    return !drain_since_.has_value() &&
           desk_.IsFresh(clock_->SuspendAwareNow());
  }

  void CheckReady() {
    const bool is_ready = IsReady();
    if (is_ready != was_ready_) {
      was_ready_ = is_ready;
      const std::optional<Duration> age =
          desk_.Proof().Age(clock_->SuspendAwareNow());
      Log().Info("event={} proof_age_ms={} draining={}",
                 is_ready ? "ready" : "not_ready",
                 age.has_value() ? *age / std::chrono::milliseconds(1) : -1,
                 drain_since_.has_value());
      reporter_.TellAll();
    }
  }

  void Housekeep() {
    const Time now = clock_->Now();
    CheckReady();
    pool_.Sweep();
    desk_.Poison()->Expire(now);
    DecideMoves();
    for (const std::string& link : directory_.TakeTimedOut(now)) {
      Log().Warning("event=peer_lost link={}", link);
      board_.ForgetPeer(link);
      line_.SetPeerQueues(link, {}, now);
      desk_.Quotas()->ForgetPeer(link);
      peer_losses_.erase(link);
    }
    for (const VmRecord& gone : directory_.ExpiredMembers(now)) {
      if (now - removed_at_ > kGoneSilence) {
        removed_at_ = now;
        Log().Warning("event=vm_gone link={}", gone.link);
        wishes_.remove_member(gone);
      }
    }
    metrics_->Set("peers_heard", "kind", "vm", directory_.ReachablePeers(now));
    metrics_->Set("connections", "side", "callers", front_.Connections());
    if (drain_since_.has_value() && now - *drain_since_ > kLeastDrain) {
      front_.CloseIdle();
    }
  }

  CallerConnection::Owner BaseOwner() {
    CallerConnection::Owner owner;
    owner.options = [this] {
      CallerConnection::Options options;
      if (desk_.Table() != nullptr) {
        options.limits = desk_.Table()->Config().limits;
      }
      options.silence_limit = kCallerSilenceLimit;
      return options;
    };
    owner.is_draining = [this] { return drain_since_.has_value(); };
    owner.may_buffer = [this](std::size_t) {
      return front_.Buffered() < options_.memory_bytes / kBodyShare;
    };
    owner.on_rejected = [this](std::string_view reason) {
      metrics_->Count("rejected_total", "reason", std::string(reason));
      request_log_.Trouble(clock_->Now(), "event=rejected reason=\"{}\"",
                           reason);
    };
    return owner;
  }

  CallerConnection::Owner FrontOwner() {
    CallerConnection::Owner owner = BaseOwner();
    owner.handle = [this](CallerRequest request,
                          AnswerSink* sink) -> std::unique_ptr<RequestHandler> {
      return Exchange::Start(this, std::move(request), sink);
    };
    return owner;
  }

  PollLoop* const loop_;
  const Clock* const clock_;
  const Dialect* const dialect_;
  Metrics* const metrics_;
  RelayOptions options_;
  const Wishes wishes_;
  const VmRecord self_;
  VmDirectory directory_;
  AdmissionController desk_;
  TargetBalancer board_;
  WaitQueue line_;
  VersionMoves moves_;
  TargetPool pool_;
  RequestLog request_log_;
  std::map<std::string, RetryBudget> budgets_;
  std::map<std::string, std::vector<ContentLoss>> peer_losses_;
  std::map<std::uint64_t, Exchange*> waiting_;
  std::uint64_t next_number_ = 0;
  ScalePlan plan_ = PlanForScale(1, 1, Duration(0), Duration(0));
  Time removed_at_;
  bool decisions_requested_ = false;
  bool has_version_rules_ = false;
  bool was_ready_ = false;
  std::optional<Time> drain_since_;
  std::unique_ptr<TimerService::Subscription> housekeeping_;
  std::unique_ptr<TimerService::Subscription> decision_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // Last, so that connections go before what their work refers to.
  Listener front_;
  AdminPages pages_;
  std::unique_ptr<PeerLink> link_;
  PeerReporter reporter_;
};

}  // namespace

std::unique_ptr<Relay> Relay::Make(PollLoop* loop, const Clock* clock,
                                   const Dialect* dialect, Metrics* metrics,
                                   const RelayOptions& options, Wishes wishes) {
  return std::make_unique<LiveRelay>(loop, clock, dialect, metrics, options,
                                     std::move(wishes));
}

}  // namespace hornbeamcleat
