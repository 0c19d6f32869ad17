#include "src/relay/relay.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/hash.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/relay/admin_endpoints.h"
#include "src/relay/buffer_budget.h"
#include "src/relay/exchange.h"
#include "src/relay/http_codec.h"
#include "src/relay/http_parser.h"
#include "src/relay/listener.h"
#include "src/relay/peer_link.h"
#include "src/relay/peer_reporter.h"
#include "src/relay/request_log.h"
#include "src/relay/target_connection_pool.h"
#include "src/schedule/retry_budget.h"
#include "src/serving/caller_patience.h"
#include "src/serving/evacuated_domains.h"
#include "src/serving/refusal_records.h"
#include "src/serving/scale_plan.h"
#include "src/serving/shared_reads.h"
#include "src/serving/short_queue.h"
#include "src/serving/shutdown_plan.h"
#include "src/serving/version_moves.h"
#include "src/serving/vm_directory.h"

namespace hornbeamcleat {
namespace {

/// Time without a message after which a peer's state is dropped, and after
/// which callers are no longer directed to it. Both span several heartbeats, so
/// that a lost datagram is tolerated.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(900);
constexpr Duration kAdvertiseTimeout = std::chrono::milliseconds(1'300);
/// Longer than a VM takes to restart or to resume from suspension.
constexpr Duration kGoneTimeout = std::chrono::seconds(20);
/// Interval at which one more VM may try a refused property. Longer than the
/// report of a trial takes to all VMs.
constexpr Duration kTrialStep = std::chrono::milliseconds(250);
/// Interval at which one more VM returns to a target after its rest, and the
/// time by which all have. Longer than a request takes to be turned away and
/// the report of that to all VMs.
constexpr Duration kReturnStep = std::chrono::milliseconds(50);
constexpr Duration kMaxReturnDelay = std::chrono::seconds(1);
/// A VM that starts holds no turns at cold targets for this time, in which the
/// others read that it is registered: they read changes once a second.
constexpr Duration kTurnDelay = std::chrono::seconds(2);
/// Time in which its peers tell a VM that starts what they know. They do so
/// with the next heartbeat after its first message.
constexpr Duration kColdNewsTime = std::chrono::milliseconds(600);
/// Interval of placement decisions while requests wait.
constexpr Duration kDecisionPeriod = std::chrono::milliseconds(20);
/// Interval of decisions while traffic moves between versions. A bad version
/// gets requests until the next one.
constexpr Duration kMoveDecisionPeriod = std::chrono::milliseconds(50);
constexpr Duration kHousekeepingPeriod = std::chrono::milliseconds(250);
/// Limit of all responses of targets, as a fraction (1/N) of the process's
/// memory. The sum reaches at most twice the limit, in strings of up to twice
/// the size, which makes an eighth.
constexpr std::size_t kResponseMemoryDivisor = 32;
/// Connections are broken when the caller acknowledges nothing for this time.
constexpr Duration kCallerStallTimeout = std::chrono::seconds(5);
/// Minimum number of retries that each VM may accumulate.
constexpr double kMinSavedRetries = 2;
/// Used fraction of the retry limits. The rest is a reserve, since a VM that
/// restarts accumulates retries from zero again.
constexpr double kRetryBudgetShare = 0.5;

const Logger& Log() {
  static const Logger log("relay");
  return log;
}

class RelayImpl : public Relay, private ExchangeContext {
 public:
  RelayImpl(PollLoop* loop, const Clock* clock, const HttpCodec* codec,
            Metrics* metrics, const RelayOptions& options, Callbacks callbacks)
      : loop_(loop),
        clock_(clock),
        codec_(codec),
        metrics_(metrics),
        options_(options),
        callbacks_(std::move(callbacks)),
        self_{options.peer_address.ToString(),
              options.caller_address.ToString(), options.failure_domain},
        shared_reads_(self_.link),
        directory_(self_, {kPeerTimeout, kAdvertiseTimeout, kGoneTimeout}),
        admission_(options.admission),
        queue_(&targets_),
        moves_(options.moves),
        target_connections_(clock),
        caller_listener_(loop, clock, options.caller_address,
                         options.max_connections, CallerDelegate(),
                         options.socket_buffer_bytes),
        admin_endpoints_(loop, clock, codec, metrics, options, BaseDelegate(),
                         {[this] { return IsReady(); },
                          [this](const CallerPlace& place) {
                            return CallerAddresses(place);
                          }}),
        peer_link_(PeerLink::Open(
            loop, clock, options.peer_address,
            [this](const PeerState& state) { OnPeerState(state); })),
        peer_reporter_(
            loop, clock, peer_link_.get(), self_,
            {&admission_, &targets_, &queue_, &moves_, &directory_,
             [this] { return IsReady(); }, &evacuations_, &shared_reads_}) {
    const Time now = clock_->Now();
    ApplyRegions();
    shared_reads_.SetIncarnation(peer_reporter_.Incarnation());
    shared_reads_.SetOptions(
        {options.admission.key_limit, options.target_drain_time});
    admission_.Quotas()->SetSlack(options.quota_slack);
    admission_.Quotas()->SetStart(now);
    target_connections_.SetOnUnsolicited(
        [this](const Address& target, std::string_view bytes) {
          OnUnsolicitedBytes(target, bytes);
        });
    admission_.SetTrialDelay([this](std::uint64_t code) {
      return kTrialStep * directory_.RankFor(code, clock_->Now());
    });
    targets_.Limits()->SetShareSource(
        [this](const TargetInstance& instance) { return ShareOf(instance); });
    targets_.Cold()->SetBounds(options.cold_bounds);
    targets_.Cold()->SetOrderSource(
        [this](const TargetInstance& instance) { return OrderOf(instance); });
    housekeeping_timer_ =
        loop_->Timers()->Every(now + kHousekeepingPeriod, kHousekeepingPeriod,
                               [this](Time) { RunHousekeeping(); });
  }

  ~RelayImpl() override { *alive_ = false; }

  void SetConfig(std::shared_ptr<const RouteTable> table) override {
    const std::int64_t version = table->Config().version;
    std::map<std::string, Duration> plain_services =
        PlainServiceObjectives(table->Config());
    if (admission_.SetTable(std::move(table))) {
      targets_.SetPlainServices(std::move(plain_services));
      Log().Info("event=config_in_force version={}", version);
      metrics_->Set("config_version", "kind", "in_force",
                    static_cast<double>(version));
      SetColdServices();
    }
  }

  void OnConfigConfirmed(Time sent) override {
    admission_.OnConfirmed(sent);
    UpdateReadiness();
  }

  void SetTargets(const std::vector<ServingTarget>& targets) override {
    targets_.SetSuspendedTime(clock_->SuspendAwareNow() - clock_->Now());
    targets_.SetTargets(targets, clock_->Now());
    targets_.UpdateColdRecords(WallMs(), clock_->Now());
    OnColdChange();
    DecideWaiting();
  }

  void SetEvacuations(const std::set<std::string>& failure_domains) override {
    evacuations_.SetStored(failure_domains);
    ApplyEvacuations();
  }

  void SetMembers(const std::vector<VmRecord>& members) override {
    directory_.SetMembers(members, clock_->Now());
    if (!has_members_) {
      turns_from_ = clock_->SuspendAwareNow() + kTurnDelay;
      if (directory_.Members() > 1) {
        targets_.Cold()->HoldUntil(clock_->SuspendAwareNow() + kColdNewsTime);
      }
    }
    has_members_ = true;
    UpdateScale();
    UpdateSavedRetries();
    targets_.Limits()->UpdateShares(clock_->SuspendAwareNow());
    targets_.Cold()->Update(clock_->SuspendAwareNow());
    Log().Info("event=members count={}", directory_.Members());
    peer_reporter_.SendAll();
  }

  void SetMoves(const std::vector<MoveOrder>& orders,
                const std::vector<MoveRecord>& records) override {
    moves_.SetMoves(orders, records, clock_->Now(), clock_->WallNow());
    DecideMoves(true);
  }

  void OnTopicRead(const TopicRead& read) override {
    metrics_->Count("topic_reads_total", "topic", SharedTopicName(read.topic));
    shared_reads_.OnOwnRead(read, clock_->SuspendAwareNow());
    for (const SharedReads::Outgoing& report :
         shared_reads_.ReportsOf(read, clock_->SuspendAwareNow())) {
      peer_reporter_.SendReads(report.message, report.link);
    }
  }

  void SetRefusals(const std::vector<PropertyLoss>& refusals) override {
    LossTable* losses = admission_.Losses();
    for (const PropertyLoss& refusal : refusal_records_.SetStored(refusals)) {
      losses->Restore(refusal, clock_->SuspendAwareNow());
    }
    OnLossesChange();
  }

  void SetOptions(const RelayOptions& options) override {
    options_.shutdown_grace = options.shutdown_grace;
    admin_endpoints_.SetDirectoryTtl(options.directory_ttl);
    options_.retry_wait_share = options.retry_wait_share;
    options_.retry_ratio = options.retry_ratio;
    options_.retry_slack = options.retry_slack;
    options_.operator_limit = options.operator_limit;
    options_.regions = options.regions;
    options_.max_listed_silence = options.max_listed_silence;
    ApplyRegions();
    options_.admission = options.admission;
    targets_.Cold()->SetBounds(options.cold_bounds);
    admission_.SetOptions(options.admission);
    shared_reads_.SetOptions(
        {options.admission.key_limit, options_.target_drain_time});
    admission_.Quotas()->SetSlack(options.quota_slack);
  }

  void Drain() override {
    if (drain_started_at_.has_value()) {
      return;
    }
    drain_started_at_ = clock_->Now();
    shutdown_times_ = ShutdownTimes::ForGrace(options_.shutdown_grace);
    shutdown_timer_ = loop_->Timers()->At(
        *drain_started_at_ + shutdown_times_.answer, [this](Time) {
          Log().Info("event=drain_ends in_flight={}",
                     caller_listener_.BusyConnections());
          caller_listener_.EndRequestsBeforeExit();
        });
    Log().Info("event=drain in_flight={}", caller_listener_.BusyConnections());
    UpdateReadiness();
    peer_reporter_.SendAll();
  }

  bool IsDrained() const override {
    if (!drain_started_at_.has_value()) {
      return false;
    }
    const Duration since = clock_->Now() - *drain_started_at_;
    return since > shutdown_times_.exit ||
           (since > shutdown_times_.min_exit &&
            caller_listener_.BusyConnections() == 0);
  }

  Address CallerAddress() const override { return caller_listener_.Bound(); }

  VmRecord SelfRecord() const override { return self_; }

 private:
  // ExchangeHost:
  PollLoop* GetLoop() override { return loop_; }
  const Clock* GetClock() override { return clock_; }
  const HttpCodec* GetCodec() override { return codec_; }
  AdmissionController* GetAdmission() override { return &admission_; }
  TargetBalancer* GetTargets() override { return &targets_; }
  WaitQueue* GetQueue() override { return &queue_; }
  CallerPatience* GetPatience() override { return &patience_; }
  double RetryWaitShare() override { return options_.retry_wait_share; }
  TargetConnectionPool* GetConnectionPool() override {
    return &target_connections_;
  }
  std::shared_ptr<BufferBudget> GetResponseBudget() override {
    return response_budget_;
  }
  VersionMoves* GetMoves() override { return &moves_; }
  RequestLog* GetLog() override { return &request_log_; }
  Metrics* GetMetrics() override { return metrics_; }
  const std::string& FailureDomain() override {
    return options_.failure_domain;
  }
  bool RejectsNewRequests() override {
    return drain_started_at_.has_value() &&
           clock_->Now() - *drain_started_at_ > shutdown_times_.serve;
  }
  bool EndsBeforeExit(const std::string& route) override {
    return !drain_started_at_.has_value() ||
           request_durations_.FitsInto(
               route,
               *drain_started_at_ + shutdown_times_.answer - clock_->Now());
  }
  void OnAnswered(const std::string& route, Duration duration) override {
    request_durations_.OnAnswered(route, duration);
  }
  bool TryTakeRetry(const std::string& service) override {
    return RetryBudgetFor(service).Take();
  }
  void OnFirstAttempt(const std::string& service) override {
    RetryBudgetFor(service).OnFirstAttempt();
  }
  void SetWaiting(std::uint64_t id, Exchange* exchange) override {
    if (exchange == nullptr) {
      waiting_exchanges_.erase(id);
    } else {
      waiting_exchanges_[id] = exchange;
    }
  }
  std::uint64_t NextExchangeId() override { return next_exchange_id_++; }
  void SetInFlight(std::uint64_t id, Exchange* exchange) override {
    if (exchange == nullptr) {
      in_flight_exchanges_.erase(id);
    } else {
      in_flight_exchanges_[id] = exchange;
    }
  }
  void OnTargetStatement(const ServingTarget& target,
                         const TargetStatement& statement,
                         std::optional<Time> sent) override {
    const TargetInstance instance = TargetInstance::Of(target);
    OnTargetLimit(target, statement, sent);
    if (statement.cold_remaining.has_value() && sent.has_value()) {
      targets_.Cold()->OnHealth(target, *statement.cold_remaining, *sent,
                                clock_->SuspendAwareNow());
      OnColdChange();
    }
    if (!statement.is_leaving && !statement.rest.has_value() &&
        !statement.has_invalid_rest) {
      return;
    }
    const char* kind = statement.is_leaving         ? "leaving"
                       : statement.has_invalid_rest ? "invalid_rest"
                                                    : "rest";
    metrics_->Count("target_statements_total", "kind", kind);
    const Duration return_delay =
        std::min(kMaxReturnDelay,
                 kReturnStep * directory_.RankFor(instance.id, clock_->Now()));
    const bool is_news = targets_.Statements()->OnStatement(
        instance, statement, return_delay, clock_->SuspendAwareNow());
    if (statement.is_leaving) {
      target_connections_.Drop(Address::Parse(target.address));
    }
    ScheduleDecisions();
    if (is_news) {
      peer_reporter_.SendNoticesSoon();
    }
    if (is_news || statement.has_invalid_rest) {
      request_log_.Warning(
          clock_->Now(), "event=target_statement target={} kind={} rest_ms={}",
          target.id, kind,
          statement.rest.value_or(Duration(0)) / std::chrono::milliseconds(1));
    }
  }
  void OnTargetLoad(const ServingTarget& target,
                    const std::optional<TargetLoadReport>& load,
                    bool is_invalid) override {
    metrics_->Count("load_reports_total", "kind",
                    is_invalid ? "invalid" : "valid");
    if (is_invalid) {
      request_log_.Warning(clock_->Now(),
                           "event=load_report_invalid target={} usable={}",
                           target.id, load.has_value());
    }
    if (load.has_value()) {
      targets_.OnLoadReport(target, *load, clock_->Now());
    }
  }
  void OnTargetLimit(const ServingTarget& target,
                     const TargetStatement& statement,
                     std::optional<Time> sent) {
    TargetLimits* limits = targets_.Limits();
    const TargetInstance instance = TargetInstance::Of(target);
    const Time boot_now = clock_->SuspendAwareNow();
    bool is_news = false;
    if (statement.has_invalid_limit) {
      metrics_->Count("target_statements_total", "kind", "invalid_limit");
      request_log_.Warning(clock_->Now(),
                           "event=target_statement target={} "
                           "kind=invalid_limit",
                           target.id);
    }
    if (statement.request_limit.has_value()) {
      metrics_->Count("target_statements_total", "kind", "limit");
      is_news = limits->OnStated(instance, *statement.request_limit, boot_now);
    } else if (sent.has_value() && !statement.has_invalid_limit) {
      is_news = limits->OnUnlimitedAnswer(instance, *sent, boot_now);
    }
    if (is_news) {
      LogLimit(instance, target.id, "answer");
      ScheduleDecisions();
      peer_reporter_.SendNoticesSoon();
    }
  }

  void LogLimit(const TargetInstance& instance, const std::string& target,
                const std::string& source) {
    const std::optional<TargetLimits::Limit> limit =
        targets_.Limits()->Find(instance, clock_->SuspendAwareNow());
    if (!limit.has_value()) {
      request_log_.Warning(clock_->Now(),
                           "event=target_limit_ended target={} source={}",
                           target, source);
      return;
    }
    const VmShare share = ShareOf(instance);
    request_log_.Warning(
        clock_->Now(),
        "event=target_limit target={} per_second={:.3f} own_per_second={:.3f} "
        "rank={} heard={} registered={} source={}",
        target, limit->per_second, targets_.Limits()->OwnRate(instance),
        share.rank, share.heard, share.registered, source);
  }

  // Beyond a full mesh, VMs of other failure domains use a target only for
  // overflow, so that those of its own share its limit.
  VmShare ShareOf(const TargetInstance& instance) const {
    return directory_.ShareOf(
        instance.id,
        scale_plan_.is_domain_scoped ? targets_.DomainOf(instance) : "",
        IsReady() && has_members_, clock_->Now());
  }

  void OnColdChange() override {
    const Time boot_now = clock_->SuspendAwareNow();
    ColdTargets* cold = targets_.Cold();
    if (cold->TakeNews()) {
      peer_reporter_.SendNoticesSoon();
    }
    if (cold->TakeChanged()) {
      LogColdEvents(boot_now);
      ScheduleDecisions();
    }
  }

  void LogColdEvents(Time boot_now) {
    for (const ColdTargets::Event& event :
         targets_.Cold()->TakeEvents(boot_now)) {
      if (event.is_cold) {
        request_log_.Warning(
            clock_->Now(),
            "event=target_cold target={} until_ms={} cause={} share={:.3f}",
            event.target, event.left / std::chrono::milliseconds(1),
            ColdCauseName(event.cause), event.own_rate);
      } else {
        request_log_.Warning(clock_->Now(), "event=target_warm target={}",
                             event.target);
      }
    }
  }

  // VMs hold turns from a while after their start on, when the others have read
  // that they are registered.
  VmOrder OrderOf(const TargetInstance& instance) const {
    return directory_.OrderFor(
        instance.id,
        IsReady() && has_members_ && clock_->SuspendAwareNow() >= turns_from_,
        clock_->Now());
  }

  void SetColdServices() {
    std::map<std::string, ServiceSpec> services;
    for (const ServiceSpec& service : admission_.Table()->Config().services) {
      services.emplace(service.name, service);
    }
    targets_.SetColdServices(services, WallMs(), clock_->Now());
  }

  std::int64_t WallMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               clock_->WallNow().time_since_epoch())
        .count();
  }

  void UpdateColdTargets() {
    const Time boot_now = clock_->SuspendAwareNow();
    ColdTargets* cold = targets_.Cold();
    cold->Update(boot_now);
    if (!cold->IsEnabled()) {
      return;
    }
    if (cold->TakeNews()) {
      peer_reporter_.SendNoticesSoon();
    }
    LogColdEvents(boot_now);
    metrics_->Set("targets", "kind", "cold", cold->ColdCount(boot_now));
  }

  void OnLossesChange() override {
    LossTable* losses = admission_.Losses();
    for (const RequestProperty& property : losses->TakeNewlyRefused()) {
      Log().Warning("event=property_refused property={} losses={} trusted={}",
                    property.ToString(), losses->Losses(property),
                    losses->IsTrusted(property, clock_->SuspendAwareNow()));
      RecheckExchanges();
    }
    peer_reporter_.SendLossesSoon();
  }

  void ScheduleDecisions() override {
    if (decisions_scheduled_) {
      return;
    }
    decisions_scheduled_ = true;
    loop_->Post([this, alive = alive_] {
      if (*alive) {
        decisions_scheduled_ = false;
        DecideWaiting();
      }
    });
  }

  void ApplyEvacuations() {
    const std::set<std::string> active =
        evacuations_.Active(clock_->SuspendAwareNow());
    if (active == active_evacuations_) {
      return;
    }
    active_evacuations_ = active;
    targets_.SetSuspendedTime(clock_->SuspendAwareNow() - clock_->Now());
    targets_.SetEvacuatedDomains(active, clock_->Now());
    metrics_->Set("failure_domains", "kind", "evacuated",
                  static_cast<double>(active.size()));
    const std::vector<std::string> stored = evacuations_.Stored();
    Log().Warning("event=evacuations_in_force count={} of_store={}",
                  active.size(), stored.size());
    // Callers may be on the call stack, such as a decision on a request.
    ScheduleDecisions();
  }

  void ApplyRegions() {
    targets_.SetRegions(options_.regions);
    directory_.SetRegions(options_.regions);
    directory_.SetMaxListedSilence(options_.max_listed_silence);
  }

  std::vector<std::string> CallerAddresses(const CallerPlace& place) {
    directory_.SetSuspendedTime(clock_->SuspendAwareNow() - clock_->Now());
    return directory_.CallerAddresses(place, IsReady(), clock_->Now());
  }

  RetryBudget& RetryBudgetFor(const std::string& service) {
    RetryBudget& budget =
        retry_budgets_
            .try_emplace(service, options_.retry_ratio * kRetryBudgetShare,
                         saved_retries_)
            .first->second;
    budget.SetCapacity(saved_retries_);
    return budget;
  }

  // Until the other VMs are known, this VM takes itself for one of many.
  void UpdateSavedRetries() {
    if (!has_members_) {
      return;
    }
    const VmShare share =
        directory_.ShareOf(Hash64("retries"), "", true, clock_->Now());
    saved_retries_ = std::max(
        options_.retry_slack * kRetryBudgetShare / share.overall,
        std::min(kMinSavedRetries,
                 WholePartOf(options_.retry_slack, kMinSavedRetries, share)));
  }

  // Runs from the loop, since an exchange may be on the call stack.
  void RecheckExchanges() {
    if (std::exchange(recheck_scheduled_, true)) {
      return;
    }
    loop_->Post([this, alive = alive_] {
      if (*alive) {
        recheck_scheduled_ = false;
        Recheck(waiting_exchanges_);
        Recheck(in_flight_exchanges_);
      }
    });
  }

  // An exchange that ends leaves the map.
  static void Recheck(const std::map<std::uint64_t, Exchange*>& exchanges) {
    std::vector<std::uint64_t> ids;
    ids.reserve(exchanges.size());
    for (const auto& [id, exchange] : exchanges) {
      ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
      const auto it = exchanges.find(id);
      if (it != exchanges.end()) {
        it->second->RecheckProperties();
      }
    }
  }

  void DecideWaiting() {
    targets_.SetSuspendedTime(clock_->SuspendAwareNow() - clock_->Now());
    const std::vector<WaitDecision> decisions = queue_.Decide(clock_->Now());
    for (const WaitDecision& decision : decisions) {
      const auto it = waiting_exchanges_.find(decision.id);
      if (it != waiting_exchanges_.end()) {
        it->second->OnDecision(decision);
      }
    }
    decision_timer_.reset();
    if (!waiting_exchanges_.empty()) {
      decision_timer_ = loop_->Timers()->At(clock_->Now() + kDecisionPeriod,
                                            [this](Time) { DecideWaiting(); });
    }
    peer_reporter_.SendChangesSoon();
  }

  void OnPeerState(const PeerState& state) {
    const Time now = clock_->Now();
    const bool is_new_incarnation = directory_.IsNewIncarnation(state);
    const bool is_returning = directory_.IsReturning(state);
    directory_.SetSuspendedTime(clock_->SuspendAwareNow() - now);
    if (!directory_.OnState(state, now - peer_link_->MessageAge())) {
      return;
    }
    if (is_new_incarnation) {
      peer_reporter_.OnPeerStarted(state.link);
    } else if (is_returning) {
      peer_reporter_.OnPeerReturned(state.link);
    }
    UpdateScale();
    if (state.reads.has_value()) {
      OnSharedReads(state);
    }
    const bool is_near = !scale_plan_.is_domain_scoped ||
                         directory_.IsLocalDomainLink(state.link);
    if (state.has_load) {
      targets_.SetPeerLoad(state.link, state.uses, now, is_near);
    }
    // Queues of other failure domains are too outdated to wait for.
    if (state.has_load) {
      queue_.SetPeerQueues(state.link,
                           is_near ? state.queues : std::vector<ServiceQueue>(),
                           now);
    }
    admission_.Quotas()->SetPeerUsage(
        state.link, {state.incarnation, state.has_all_quotas, is_near},
        state.quotas, now);
    if (state.details.has_value()) {
      targets_.SetPeerStats(state.link, state.details->findings);
      moves_.SetPeerCounts(state.link, state.incarnation,
                           state.details->versions);
    }
    if (state.losses.has_value()) {
      admission_.Losses()->OnPeerReport(*state.losses,
                                        clock_->SuspendAwareNow());
      OnLossesChange();
    }
    if (state.evacuations.has_value()) {
      evacuations_.SetPeer(state.link, *state.evacuations,
                           clock_->SuspendAwareNow());
      ApplyEvacuations();
    }
    for (const TargetNotice& notice : state.notices) {
      OnTargetNotice(state.link, notice);
    }
    for (const LimitNotice& notice : state.limits) {
      if (targets_.Limits()->OnNotice(notice, clock_->SuspendAwareNow())) {
        LogLimit(notice.target, targets_.IdOf(notice.target), state.link);
      }
    }
    targets_.SetSuspendedTime(clock_->SuspendAwareNow() - now);
    for (const ColdNotice& notice : state.cold) {
      targets_.OnColdNotice(state.link, notice, now);
    }
    if (!state.cold.empty()) {
      OnColdChange();
    }
    if (!waiting_exchanges_.empty()) {
      ScheduleDecisions();
    }
  }

  void OnSharedReads(const PeerState& state) {
    if (!directory_.IsLocalDomainLink(state.link)) {
      return;
    }
    shared_reads_.OnStamp(state.link, state.incarnation, *state.reads);
    for (const TopicReport& report : state.reads->reports) {
      const std::optional<TopicProof> proof = shared_reads_.Accept(
          report, state.reads->echo, clock_->SuspendAwareNow());
      metrics_->Count("topic_reports_total", "outcome",
                      proof.has_value() ? "used" : "ignored");
      if (proof.has_value()) {
        callbacks_.on_topic_proof(*proof);
      }
    }
  }

  void UpdateReadRoles() {
    std::vector<SharedReads::Peer> peers;
    for (const VmDirectory::HeardPeer& peer :
         directory_.HeardLocalPeers(clock_->Now())) {
      peers.push_back({peer.link, peer.is_ready});
    }
    for (const SharedTopic topic : shared_reads_.UpdateRoles(
             peers, IsReady(), clock_->SuspendAwareNow())) {
      const ReadRole role = shared_reads_.RoleOf(topic);
      Log().Info("event=read_role topic={} role={} heard={}",
                 SharedTopicName(topic), ReadRoleName(role), peers.size());
      metrics_->Set("topic_reader", "topic", SharedTopicName(topic),
                    role == ReadRole::kReader || role == ReadRole::kStandby);
    }
    for (const SharedTopic topic : kSharedTopics) {
      // Duties also change with the options.
      ReadDuty& duty = read_duties_[topic];
      if (std::exchange(duty, shared_reads_.DutyOf(topic)) != duty) {
        callbacks_.set_read_duty(topic, duty);
      }
    }
  }

  void OnTargetNotice(const std::string& link, const TargetNotice& notice) {
    if (!targets_.Statements()->OnNotice(notice, clock_->SuspendAwareNow())) {
      return;
    }
    const std::string address = targets_.AddressOf(notice.target);
    Log().Info("event=target_notice link={} address={} leaving=true", link,
               address);
    if (!address.empty()) {
      target_connections_.Drop(Address::Parse(address));
    }
  }

  // Bytes on an idle connection answer no request, but state where they come
  // from.
  void OnUnsolicitedBytes(const Address& address, std::string_view bytes) {
    const std::unique_ptr<HttpParser> parser =
        HttpParser::ForResponse({bytes.size(), 0}, false);
    parser->Feed(bytes);
    if (!parser->HeadDone()) {
      return;
    }
    const TargetStatement statement =
        codec_
            ->ParseResponseHeaders(parser->Head().status,
                                   parser->Head().headers)
            .statement;
    if (statement.IsEmpty()) {
      return;
    }
    for (const ServingTarget& target : targets_.FindAt(address.ToString())) {
      OnTargetStatement(target, statement, std::nullopt);
    }
  }

  void UpdateScale() {
    const int members = directory_.Members();
    admission_.Quotas()->SetMembers(members, scale_plan_.is_domain_scoped
                                                 ? directory_.LocalDomainSize()
                                                 : members);
    const ScalePlan plan =
        PlanForScale(members, directory_.LocalDomainSize(),
                     options_.operator_limit, options_.target_drain_time);
    if (plan == scale_plan_) {
      return;
    }
    scale_plan_ = plan;
    shared_reads_.SetEnabled(plan.is_domain_scoped);
    peer_reporter_.SetPlan(plan);
    peer_link_->SetReadInterval(plan.peer_read_interval);
    directory_.SetRemoteTimeoutFactor(plan.remote_timeout_factor);
    targets_.SetCandidateShare(plan.candidate_share);
    targets_.SetRemoteDomainCost(plan.remote_domain_cost_ms);
    targets_.SetNewsDelay(plan.min_change_interval + plan.peer_read_interval,
                          plan.is_domain_scoped);
    callbacks_.on_scale(plan);
  }

  // Records are repeated until they are read back, but not with each decision.
  void DecideMoves(bool repeats_records) {
    const std::vector<MoveOrder> orders = moves_.Orders();
    if (orders.empty() && !has_version_rules_) {
      return;
    }
    std::map<std::string, VersionMoves::SideCapacity> sides;
    for (const MoveOrder& order : orders) {
      VersionMoves::SideCapacity& side = sides[order.service];
      side.new_slots = targets_.SlotsOf(order.service, order.version, true);
      side.new_resting_slots =
          targets_.RestingSlotsOf(order.service, order.version, clock_->Now());
      side.new_targets = targets_.TargetsOf(order.service, order.version);
      side.old_slots = targets_.SlotsOf(order.service, order.version, false);
      side.old_running =
          targets_.RunningOf(order.service, order.version, false);
    }
    const Time now = clock_->Now();
    moves_.CountLost(
        [this](std::uint32_t target) {
          return admission_.Losses()->IsExplained(target);
        },
        now);
    VersionMoves::Decisions decisions =
        moves_.Decide(sides, directory_.IsLeader(now), now, clock_->WallNow());
    for (const std::string& note : decisions.log_lines) {
      Log().Info("{}", note);
    }
    for (const MoveRecord& record : decisions.records) {
      // A start is stated anew each time.
      const std::pair<std::string, MoveOutcome> outcome = {record.version,
                                                           record.outcome};
      if (repeats_records || outcome != given_outcomes_[record.service]) {
        given_outcomes_[record.service] = outcome;
        callbacks_.record_move(record);
      }
    }
    move_timer_ =
        moves_.IsAnyMoving()
            ? loop_->Timers()->At(now + kMoveDecisionPeriod,
                                  [this](Time) { DecideMoves(false); })
            : nullptr;
    has_version_rules_ = !decisions.rules.empty();
    targets_.SetVersionRules(std::move(decisions.rules));
  }

  bool IsReady() const {
    return !drain_started_at_.has_value() &&
           admission_.IsFresh(clock_->SuspendAwareNow());
  }

  void UpdateReadiness() {
    const bool is_ready = IsReady();
    if (is_ready != was_ready_) {
      was_ready_ = is_ready;
      const std::optional<Duration> age =
          admission_.Proof().Age(clock_->SuspendAwareNow());
      Log().Info("event={} proof_age_ms={} draining={}",
                 is_ready ? "ready" : "not_ready",
                 age.has_value() ? *age / std::chrono::milliseconds(1) : -1,
                 drain_started_at_.has_value());
      peer_reporter_.SendAll();
    }
  }

  void RunHousekeeping() {
    const Time now = clock_->Now();
    UpdateReadiness();
    ApplyEvacuations();
    target_connections_.CloseExpired();
    if (!waiting_exchanges_.empty()) {
      caller_listener_.CloseSlowReaders();
    }
    LossTable* losses = admission_.Losses();
    losses->Expire(clock_->SuspendAwareNow());
    losses->ReportAnswers(
        [this, now](std::uint64_t code) {
          return directory_.RankFor(code, now);
        },
        clock_->SuspendAwareNow());
    OnLossesChange();
    const RefusalRecords::Changes changes = refusal_records_.Decide(
        *losses,
        [this, now](std::uint64_t code) {
          return directory_.RankFor(code, now);
        },
        clock_->SuspendAwareNow());
    for (const PropertyLoss& refusal : changes.record) {
      callbacks_.record_refusal(refusal);
    }
    for (const RequestProperty& property : changes.remove) {
      callbacks_.remove_refusal(property);
    }
    metrics_->Set("properties", "kind", "refused", losses->RefusedCount());
    targets_.Limits()->UpdateShares(clock_->SuspendAwareNow());
    UpdateColdTargets();
    UpdateSavedRetries();
    metrics_->Set("targets", "kind", "limited",
                  targets_.Limits()->LimitedCount());
    const LoadReportCounts reports = targets_.CountLoadReports(now);
    metrics_->Set("targets", "kind", "reporting_load", reports.reporting);
    metrics_->Set("targets", "kind", "slowed", reports.slowed);
    DecideMoves(true);
    UpdateReadRoles();
    for (const std::string& link : directory_.TakeTimedOut(now)) {
      Log().Warning("event=peer_lost link={}", link);
      targets_.ForgetPeer(link);
      queue_.SetPeerQueues(link, {}, now);
      evacuations_.ForgetPeer(link);
      admission_.Quotas()->ForgetPeer(link);
    }
    for (const VmRecord& gone : directory_.ExpiredMembers(now)) {
      if (now - last_removal_at_ > kGoneTimeout) {
        last_removal_at_ = now;
        Log().Warning("event=vm_gone link={}", gone.link);
        callbacks_.remove_member(gone);
      }
    }
    metrics_->Set("peers_heard", "kind", "vm", directory_.ReachablePeers(now));
    metrics_->Set("held_bytes", "of", "responses",
                  static_cast<double>(response_budget_->Held()));
    metrics_->Set("held_bytes", "of", "callers",
                  static_cast<double>(caller_budget_->Held()));
    metrics_->Set("connections", "side", "callers",
                  caller_listener_.ConnectionCount());
    if (drain_started_at_.has_value() &&
        now - *drain_started_at_ > shutdown_times_.min_exit) {
      caller_listener_.CloseIdleConnections();
    }
  }

  CallerConnection::Delegate BaseDelegate() {
    CallerConnection::Delegate delegate;
    delegate.options = [this] {
      CallerConnection::Options options;
      if (admission_.Table() != nullptr) {
        options.limits = admission_.Table()->Config().limits;
      }
      options.user_timeout = kCallerStallTimeout;
      return options;
    };
    delegate.is_draining = [this] { return drain_started_at_.has_value(); };
    delegate.budget = caller_budget_;
    delegate.on_evicted = [this](CloseCause cause) {
      metrics_->Count("connections_closed_total", "cause",
                      CloseCauseName(cause));
      request_log_.Warning(clock_->Now(),
                           "event=caller_closed cause={} held_bytes={}",
                           CloseCauseName(cause), caller_budget_->Held());
    };
    delegate.on_rejected = [this](std::string_view reason) {
      metrics_->Count("rejected_total", "reason", std::string(reason));
      request_log_.Warning(clock_->Now(), "event=rejected reason=\"{}\"",
                           reason);
    };
    delegate.on_response_cut = [this](std::size_t unsent) {
      metrics_->Count("responses_cut_total", "side", "callers");
      request_log_.Warning(clock_->Now(), "event=response_cut unsent_bytes={}",
                           unsent);
    };
    return delegate;
  }

  CallerConnection::Delegate CallerDelegate() {
    CallerConnection::Delegate delegate = BaseDelegate();
    delegate.handle =
        [this](CallerRequest request,
               ResponseSink* sink) -> std::unique_ptr<RequestHandler> {
      return Exchange::Start(this, std::move(request), sink);
    };
    return delegate;
  }

  PollLoop* const loop_;
  const Clock* const clock_;
  const HttpCodec* const codec_;
  Metrics* const metrics_;
  RelayOptions options_;
  const Callbacks callbacks_;
  const VmRecord self_;
  SharedReads shared_reads_;
  std::map<SharedTopic, ReadDuty> read_duties_;
  VmDirectory directory_;
  AdmissionController admission_;
  TargetBalancer targets_;
  WaitQueue queue_;
  CallerPatience patience_;
  VersionMoves moves_;
  RefusalRecords refusal_records_;
  EvacuatedDomains evacuations_{clock_->SuspendAwareNow()};
  std::set<std::string> active_evacuations_;  ///< set in `targets_`
  TargetConnectionPool target_connections_;
  const std::shared_ptr<BufferBudget> response_budget_ =
      std::make_shared<BufferBudget>(options_.memory_bytes /
                                     kResponseMemoryDivisor);
  /// What callers hold, on all listeners.
  const std::shared_ptr<BufferBudget> caller_budget_ =
      std::make_shared<BufferBudget>(
          static_cast<std::size_t>(static_cast<double>(options_.memory_bytes) *
                                   options_.caller_memory_share));
  RequestLog request_log_;
  std::map<std::string, RetryBudget> retry_budgets_;
  double saved_retries_ = 1;  ///< that this VM may accumulate
  bool has_members_ = false;  ///< the other VMs are known
  Time turns_from_;           ///< when this VM may hold turns at cold targets
  std::map<std::uint64_t, Exchange*> waiting_exchanges_;
  std::map<std::uint64_t, Exchange*> in_flight_exchanges_;
  std::uint64_t next_exchange_id_ = 0;
  ScalePlan scale_plan_ = PlanForScale(1, 1, Duration(0), Duration(0));
  Time last_removal_at_;
  bool decisions_scheduled_ = false;
  bool recheck_scheduled_ = false;
  bool has_version_rules_ = false;
  bool was_ready_ = false;
  std::optional<Time> drain_started_at_;
  ShutdownTimes shutdown_times_;  ///< once the shutdown has started
  RequestDurations request_durations_;
  std::unique_ptr<TimerService::Subscription> shutdown_timer_;
  std::unique_ptr<TimerService::Subscription> housekeeping_timer_;
  std::unique_ptr<TimerService::Subscription> decision_timer_;
  std::unique_ptr<TimerService::Subscription> move_timer_;
  /// Versions and outcomes of the latest records to be written, keyed by
  /// service.
  std::map<std::string, std::pair<std::string, MoveOutcome>> given_outcomes_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // Declared last, so that connections are destroyed before the objects that
  // their requests refer to.
  Listener caller_listener_;
  AdminEndpoints admin_endpoints_;
  std::unique_ptr<PeerLink> peer_link_;
  PeerReporter peer_reporter_;
};

}  // namespace

std::unique_ptr<Relay> Relay::Make(PollLoop* loop, const Clock* clock,
                                   const HttpCodec* codec, Metrics* metrics,
                                   const RelayOptions& options,
                                   Callbacks callbacks) {
  return std::make_unique<RelayImpl>(loop, clock, codec, metrics, options,
                                     std::move(callbacks));
}

}  // namespace hornbeamcleat
