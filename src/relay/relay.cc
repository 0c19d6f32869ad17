#include "src/relay/relay.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/relay/dialect.h"
#include "src/relay/exchange.h"
#include "src/relay/listener.h"
#include "src/relay/peer_link.h"
#include "src/relay/request_log.h"
#include "src/relay/target_pool.h"
#include "src/schedule/retry_budget.h"
#include "src/serving/scale_plan.h"
#include "src/serving/version_moves.h"
#include "src/serving/vm_directory.h"

namespace hornbeamcleat {
namespace {

/// Period of the check whether a heartbeat is due.
constexpr Duration kHeartbeatCheck = std::chrono::milliseconds(250);
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
constexpr int kAdminConnections = 64;
/// Retries that each VM may save up at least.
constexpr double kLeastSavedRetries = 2;
/// Part of the retry bound that is used: VMs that restart save up anew.
constexpr double kRetryShare = 0.5;

const Logger& Log() {
  static const Logger log("relay");
  return log;
}

// Handler of a request that was answered at once.
class NoWork : public RequestHandler {
 public:
  void OnFlushed() override {}
};

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
        ready_(loop, clock, options.ready, kAdminConnections, ReadyOwner()),
        resolver_(loop, clock, options.directory, options.max_connections,
                  DirectoryOwner()),
        metrics_page_(loop, clock, options.metrics, kAdminConnections,
                      MetricsOwner()),
        link_(PeerLink::Open(
            loop, options.link,
            [this](const PeerState& state) { OnPeerState(state); })) {
    std::random_device random;
    incarnation_ = (std::uint64_t{random()} << 32) | random();
    const Time now = clock_->Now();
    desk_.Quotas()->SetSlack(options.quota_slack);
    desk_.Quotas()->SetStart(now);
    heartbeat_ = loop_->Timers()->Every(now + kHeartbeatCheck, kHeartbeatCheck,
                                        [this](Time) { Heartbeat(); });
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
    TellAll();
  }

  void SetMoves(const std::vector<MoveOrder>& orders,
                const std::vector<MoveRecord>& records) override {
    moves_.SetMoves(orders, records, clock_->Now(), clock_->WallNow());
    DecideMoves();
  }

  void SetOptions(const RelayOptions& options) override {
    options_.grace = options.grace;
    options_.directory_keep = options.directory_keep;
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
    TellAll();
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
  AdmissionDesk* Desk() override { return &desk_; }
  TargetBoard* Board() override { return &board_; }
  WaitLine* Line() override { return &line_; }
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
    TellSoon();
  }

  // Tells the peers of a change, unless they were told a moment ago.
  void TellSoon() {
    if (told_changes_ == board_.Changes() + line_.Changes()) {
      return;
    }
    const Time now = clock_->Now();
    const Time due = told_at_ + plan_.change_gap;
    if (now >= due) {
      Tell(false, false);
    } else if (tell_timer_ == nullptr) {
      tell_timer_ =
          loop_->Timers()->At(due, [this](Time) { Tell(false, false); });
    }
  }

  std::vector<std::string> NearLinks() const {
    return plan_.is_by_domain ? directory_.NearLinks() : directory_.Links();
  }

  void Heartbeat() {
    const Time now = clock_->Now();
    const bool with_details = now - detailed_at_ >= plan_.details_period;
    if (now - told_far_at_ >= plan_.far_period) {
      Tell(with_details, true);
    } else {
      Tell(with_details, false);
      TellPressedQuotas();
    }
    if (with_details) {
      detailed_at_ = now;
    }
  }

  void TellAll() { Tell(true, true); }

  // @param reaches_far whether VMs of other domains are told too
  void Tell(bool with_details, bool reaches_far) {
    const Time now = clock_->Now();
    tell_timer_.reset();
    told_at_ = now;
    told_changes_ = board_.Changes() + line_.Changes();
    PeerState state = NextState();
    state.uses = board_.Uses();
    state.queues = line_.Queues(now);
    state.tells_all_quotas = with_details || reaches_far;
    state.quotas = state.tells_all_quotas
                       ? desk_.Quotas()->TakeAllUses(reaches_far)
                       : desk_.Quotas()->TakeNearUses();
    if (with_details) {
      state.details = Details(now);
    }
    if (reaches_far) {
      told_far_at_ = now;
    }
    link_->Send(state, reaches_far ? directory_.Links() : NearLinks());
  }

  // Between heartbeats VMs of other domains hear only of quotas that run out.
  void TellPressedQuotas() {
    if (!plan_.is_by_domain) {
      return;
    }
    PeerState state = NextState();
    state.tells_work = false;
    state.quotas = desk_.Quotas()->TakePressedUses();
    if (!state.quotas.empty()) {
      link_->Send(state, directory_.FarLinks());
    }
  }

  PeerState NextState() {
    PeerState state;
    state.incarnation = incarnation_;
    state.sequence = ++sequence_;
    state.link = self_.link;
    state.is_ready = IsReady();
    return state;
  }

  PeerDetails Details(Time now) const {
    PeerDetails details;
    details.front = self_.front;
    details.failure_domain = self_.failure_domain;
    details.findings = board_.Findings(now);
    details.versions = moves_.Counts();
    for (const auto& [fingerprint, losses] : desk_.OwnLosses(now)) {
      details.losses.push_back(
          {fingerprint, static_cast<std::uint32_t>(losses)});
    }
    return details;
  }

  void OnPeerState(const PeerState& state) {
    const Time now = clock_->Now();
    if (!directory_.OnState(state, now)) {
      return;
    }
    if (state.tells_work) {
      board_.SetPeerUses(state.link, state.uses);
    }
    OnMembership();
    const bool is_near =
        !plan_.is_by_domain || directory_.IsNearLink(state.link);
    // Queues of other domains are too old to wait for.
    if (is_near && state.tells_work) {
      line_.SetPeerQueues(state.link, state.queues, now);
    }
    desk_.Quotas()->SetPeerUse(
        state.link, {state.incarnation, state.tells_all_quotas, is_near},
        state.quotas);
    if (state.details.has_value()) {
      board_.SetPeerFindings(state.link, state.details->findings);
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
    desk_.Quotas()->SetMembers(
        members, plan_.is_by_domain ? directory_.Near() : members);
    const ScalePlan plan =
        PlanForScale(members, directory_.Near(), options_.admission.key_limit);
    if (plan == plan_) {
      return;
    }
    plan_ = plan;
    directory_.SetFarSilenceFactor(plan.silence_factor);
    board_.SetCandidateShare(plan.candidate_share);
    board_.SetOtherDomainCost(plan.other_domain_ms);
    wishes_.on_scale(plan);
  }

  void DecideMoves() {
    const std::vector<MoveOrder> orders = moves_.Orders();
    if (orders.empty() && !has_version_rules_) {
      return;
    }
    std::map<std::string, VersionMoves::Sides> sides;
    for (const MoveOrder& order : orders) {
      VersionMoves::Sides& side = sides[order.service];
      side.new_places = board_.PlacesOf(order.service, order.version, true);
      side.old_places = board_.PlacesOf(order.service, order.version, false);
      side.old_running = board_.RunningOf(order.service, order.version, false);
    }
    const Time now = clock_->Now();
    VersionMoves::Decisions decisions =
        moves_.Decide(sides, directory_.IsFirst(now), now, clock_->WallNow());
    for (const std::string& note : decisions.notes) {
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
      TellAll();
    }
  }

  void Housekeep() {
    const Time now = clock_->Now();
    CheckReady();
    pool_.Sweep();
    desk_.Poison()->Expire(now);
    DecideMoves();
    for (const std::string& link : directory_.TakeSilent(now)) {
      Log().Warning("event=peer_lost link={}", link);
      board_.ForgetPeer(link);
      line_.SetPeerQueues(link, {}, now);
      desk_.Quotas()->ForgetPeer(link);
      peer_losses_.erase(link);
    }
    for (const VmRecord& gone : directory_.Gone(now)) {
      if (now - removed_at_ > kGoneSilence) {
        removed_at_ = now;
        Log().Warning("event=vm_gone link={}", gone.link);
        wishes_.remove_member(gone);
      }
    }
    metrics_->Set("peers_heard", "kind", "vm", directory_.Heard(now));
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

  CallerConnection::Owner ReadyOwner() {
    CallerConnection::Owner owner = BaseOwner();
    owner.handle = [this](const CallerRequest& request, AnswerSink* sink) {
      int status = 404;
      if (dialect_->IsReadinessQuery(request.head.target)) {
        status = IsReady() ? 200 : 503;
      }
      sink->SendWhole(status, "", {}, "");
      return std::make_unique<NoWork>();
    };
    return owner;
  }

  CallerConnection::Owner DirectoryOwner() {
    CallerConnection::Owner owner = BaseOwner();
    owner.handle = [this](const CallerRequest& request, AnswerSink* sink) {
      AnswerDirectory(request, sink);
      return std::make_unique<NoWork>();
    };
    return owner;
  }

  void AnswerDirectory(const CallerRequest& request, AnswerSink* sink) {
    const std::optional<DirectoryQuery> query =
        dialect_->ReadDirectoryQuery(request.head.target);
    if (!query.has_value()) {
      sink->SendWhole(404, "", {}, "");
      return;
    }
    const std::vector<std::string> fronts =
        directory_.Fronts(query->failure_domain, IsReady(), clock_->Now());
    if (fronts.empty()) {
      metrics_->Count("directory_total", "outcome", "none_ready");
      sink->SendWhole(503, "", {{"Retry-After", "1"}}, "");
      return;
    }
    metrics_->Count("directory_total", "outcome", "answered");
    sink->SendWhole(
        200, "", {{"Content-Type", "application/json"}},
        dialect_->WriteDirectoryAnswer(fronts, options_.directory_keep));
  }

  CallerConnection::Owner MetricsOwner() {
    CallerConnection::Owner owner = BaseOwner();
    owner.handle = [this](const CallerRequest&, AnswerSink* sink) {
      sink->SendWhole(200, "", {{"Content-Type", "text/plain; version=0.0.4"}},
                      metrics_->Expose());
      return std::make_unique<NoWork>();
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
  AdmissionDesk desk_;
  TargetBoard board_;
  WaitLine line_;
  VersionMoves moves_;
  TargetPool pool_;
  RequestLog request_log_;
  std::map<std::string, RetryBudget> budgets_;
  std::map<std::string, std::vector<ContentLoss>> peer_losses_;
  std::map<std::uint64_t, Exchange*> waiting_;
  std::uint64_t next_number_ = 0;
  std::uint64_t incarnation_ = 0;
  std::uint32_t sequence_ = 0;
  std::uint64_t told_changes_ = 0;
  ScalePlan plan_ = PlanForScale(1, 1, Duration(0));
  Time detailed_at_;
  Time told_far_at_;
  Time told_at_;
  Time removed_at_;
  bool decisions_requested_ = false;
  bool has_version_rules_ = false;
  bool was_ready_ = false;
  std::optional<Time> drain_since_;
  std::unique_ptr<TimerService::Subscription> heartbeat_;
  std::unique_ptr<TimerService::Subscription> housekeeping_;
  std::unique_ptr<TimerService::Subscription> decision_timer_;
  std::unique_ptr<TimerService::Subscription> tell_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // Last, so that connections go before what their work refers to.
  Listener front_;
  Listener ready_;
  Listener resolver_;
  Listener metrics_page_;
  std::unique_ptr<PeerLink> link_;
};

}  // namespace

std::unique_ptr<Relay> Relay::Make(PollLoop* loop, const Clock* clock,
                                   const Dialect* dialect, Metrics* metrics,
                                   const RelayOptions& options, Wishes wishes) {
  return std::make_unique<LiveRelay>(loop, clock, dialect, metrics, options,
                                     std::move(wishes));
}

}  // namespace hornbeamcleat
