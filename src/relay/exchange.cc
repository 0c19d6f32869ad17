#include "src/relay/exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/hash.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/relay/http_codec.h"
#include "src/relay/http_writer.h"
#include "src/relay/request_log.h"
#include "src/relay/response_forwarder.h"
#include "src/relay/target_attempt.h"
#include "src/relay/target_connection_pool.h"
#include "src/serving/caller_patience.h"

namespace hornbeamcleat {
namespace {

/// A few round trips of the slowest link. A target whose listen backlog is full
/// doesn't respond for seconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(120);
/// A target's connection is broken after data is unacknowledged for this time.
constexpr Duration kUnackedDataTimeout = std::chrono::seconds(3);
/// Failed connects after which a request fails.
constexpr int kMaxConnectFailures = 4;
/// Status from which on a failure is the target's, not the request's.
constexpr int kMinServerFault = 500;
constexpr MessageLimits kResponseLimits = {65'536, std::size_t{1} << 40};
/// Time for the body of a response that is not forwarded, from its head on.
constexpr Duration kRestTimeout = std::chrono::milliseconds(500);
/// Minimum time to the deadline for another attempt.
constexpr Duration kMinRetryTime = std::chrono::milliseconds(50);
/// A target is silent if it sends nothing for this multiple of the expected
/// time, and not for less than kMinSilence.
constexpr int kMinSilenceFactor = 3;
constexpr Duration kMinSilence = std::chrono::milliseconds(50);
/// A timer that is later than this shows that the process was paused.
constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(50);
/// Retry-After when targets did not execute a request.
constexpr Duration kNotExecutedRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kDrainRetryAfter = std::chrono::milliseconds(50);
// Whether a status guarantees to the caller that its request was not executed.
bool PromisesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

double ToMs(Duration d) { return static_cast<double>(d.count()) / 1'000.0; }

class ExchangeImpl : public Exchange {
 public:
  ExchangeImpl(ExchangeContext* context, CallerRequest request,
               ResponseSink* sink)
      : context_(context),
        sink_(sink),
        request_(std::move(request)),
        request_info_(
            context->GetCodec()->ParseRequestHeaders(request_.head.headers)),
        properties_(AllProperties()),
        id_(context->NextExchangeId()),
        response_(context->GetCodec(), sink, request_.arrival,
                  context->GetResponseBudget()) {}

  ~ExchangeImpl() override { CancelIfInProgress(); }

  void Cancel() override { CancelIfInProgress(); }

  void Begin() {
    if (context_->RejectsNewRequests()) {
      Refuse(RefusalReason::kDraining, kDrainRetryAfter);
      return;
    }
    admission_ = context_->GetAdmission()->Admit(Query());
    if (admission_.refusal == RefusalReason::kOverQuota) {
      context_->GetLog()->Warning(
          Now(),
          "event=over_quota id={} workspace={} tokens={} level={:.0f} "
          "rate={} burst={} unheard={}",
          request_info_.id, Workspace(), request_info_.quota_tokens,
          admission_.quota.level, admission_.workspace->rate_per_second,
          admission_.workspace->burst, admission_.quota.unreachable_peers);
    }
    if (!admission_.IsAdmitted()) {
      Refuse(admission_.refusal, admission_.retry_after);
      return;
    }
    const ServingRoute& route = *admission_.route;
    if (!context_->EndsBeforeExit(route.name)) {
      Refuse(RefusalReason::kDraining, kDrainRetryAfter);
      return;
    }
    response_.SetRoute(&route);
    service_ = PickService(route, Hash64(request_info_.id));
    deadline_ = request_.arrival +
                std::min(route.timeout,
                         request_info_.wait_limit.value_or(route.timeout));
    context_->GetLog()->Info(
        Now(),
        "event=admitted id={} route={} service={} rank={} workspace={} "
        "charged={:.0f} level={:.0f} version={} properties={}",
        request_info_.id, route.name, service_, admission_.rank, Workspace(),
        admission_.charged, admission_.quota.level,
        admission_.table->Config().version, PropertiesToString(properties_));
    if (admission_.is_trial) {
      context_->OnLossesChange();
    }
    deadline_timer_ = context_->GetLoop()->Timers()->At(
        deadline_, [this](Time) { OnDeadline(); });
    Enqueue(request_.arrival,
            request_.arrival + route.objective - WaitedBefore(route.name));
  }

  void OnDecision(const WaitDecision& decision) override {
    context_->SetWaiting(id_, nullptr);
    is_waiting_ = false;
    context_->GetMetrics()->Observe("wait_seconds", "service", service_,
                                    ToSeconds(decision.waited));
    if (decision.kind == WaitDecision::Kind::kRefuse) {
      context_->GetLog()->Warning(
          Now(), "event=no_place id={} ahead={} free={} waited_ms={:.1f}",
          request_info_.id, decision.ahead, decision.free_slots,
          ToMs(decision.waited));
      Refuse(RefusalReason::kNoPlace, decision.retry_after);
      return;
    }
    Send(decision.placement);
  }

  void RecheckProperties() override {
    if (is_waiting_) {
      RefusedForLosses();
    } else {
      WithdrawIfRefused();
    }
  }

  void EndBeforeExit() override {
    if (!is_done_ && !response_.HasStarted()) {
      Refuse(RefusalReason::kDraining, kDrainRetryAfter);
    }
  }

  void OnFlushed() override {
    response_.OnFlushed();
    if (call_ != nullptr && is_paused_) {
      is_paused_ = false;
      call_->SetReading(true);
    }
  }

 private:
  Time Now() const { return context_->GetClock()->Now(); }
  Time BootNow() const { return context_->GetClock()->SuspendAwareNow(); }
  LossTable* Losses() const { return context_->GetAdmission()->Losses(); }

  void CancelIfInProgress() {
    if (is_done_) {
      return;
    }
    is_done_ = true;
    context_->GetLog()->Info(Now(), "event=caller_left id={} sent={}",
                             request_info_.id, may_have_run_);
    context_->GetMetrics()->Count("requests_total", "outcome", "caller_left");
    ReleaseResources(TargetOutcome::kAbandoned);
  }

  std::string Workspace() const {
    return admission_.workspace == nullptr ? std::string()
                                           : admission_.workspace->name;
  }

  // Properties that other requests can share, the content first.
  std::vector<RequestProperty> AllProperties() const {
    const std::string* host = FindHeader(request_.head.headers, "Host");
    const std::uint64_t content = Hash64(
        request_.body, Hash64(request_info_.key, Hash64(request_.head.target)));
    std::vector<RequestProperty> all = {
        {PropertyKind::kContent, fmt::format("{:x}", content)},
        {PropertyKind::kPath, (host == nullptr ? "" : *host) + Path()}};
    if (!request_.body.empty()) {
      AddSizes("body", request_.body.size(), &all);
    }
    all.insert(all.end(), request_info_.properties.begin(),
               request_info_.properties.end());
    return all;
  }

  std::string Path() const {
    return request_.head.target.substr(0, request_.head.target.find('?'));
  }

  AdmissionQuery Query() const {
    AdmissionQuery query;
    query.host = *FindHeader(request_.head.headers, "Host");
    query.path = Path();
    query.key = request_info_.key;
    query.states_tokens = request_info_.states_tokens;
    query.tokens = request_info_.quota_tokens;
    query.properties = properties_;
    query.seed = Hash32(request_info_.id);
    query.now = Now();
    query.boot_now = BootNow();
    return query;
  }

  PlacementNeed Need() const {
    PlacementNeed need;
    need.service = service_;
    need.prompt_tokens = request_info_.prompt_tokens;
    need.max_pause = admission_.route->max_pause;
    need.failure_domain = context_->FailureDomain();
    need.tried = tried_targets_;
    need.seed = Hash32(request_info_.id);
    need.allowed_regions = admission_.route->allowed_regions;
    if (admission_.workspace != nullptr) {
      need.allowed_regions = BothAllow(need.allowed_regions,
                                       admission_.workspace->allowed_regions);
    }
    return need;
  }

  bool IsTargetResting() const {
    return context_->GetTargets()->Statements()->Access(
               TargetInstance::Of(target_), BootNow()) ==
           TargetAccess::kResting;
  }

  // Time from the caller's first attempt to this request, if it is a retry.
  Duration WaitedBefore(const std::string& route) const {
    return context_->RetryWaitShare() > 0 &&
                   request_info_.wait_limit.has_value()
               ? context_->GetPatience()->WaitedBefore(
                     route, *request_info_.wait_limit)
               : Duration(0);
  }

  Duration MaxRetryDelay() const {
    return FromSeconds(
        context_->RetryWaitShare() *
        ToSeconds(request_info_.wait_limit.value_or(Duration(0))));
  }

  void Enqueue(Time arrival, Time objective_deadline) {
    WaitingRequest waiting;
    waiting.id = id_;
    waiting.rank = admission_.rank;
    waiting.route_rank = admission_.route->rank;
    waiting.arrival = arrival;
    waiting.objective_deadline = objective_deadline;
    waiting.deadline = deadline_;
    waiting.max_retry_delay = MaxRetryDelay();
    waiting.need = Need();
    // Different suspects go to different targets, so that the next loss tells
    // them apart, and the same one to the same target, so that it ends only
    // one.
    const RequestProperty* suspect =
        Losses()->FindSuspect(properties_, BootNow());
    if (suspect != nullptr) {
      waiting.need.rendezvous_key = suspect->Code();
    }
    context_->GetQueue()->Add(waiting);
    is_waiting_ = true;
    context_->SetWaiting(id_, this);
    context_->ScheduleDecisions();
  }

  void Send(const Placement& placement) {
    attempt_.emplace(
        TargetAttempt::Observers{context_->GetTargets(), context_->GetQueue(),
                                 context_->GetMoves()},
        TargetAttempt::Request{service_, admission_.route->name,
                               request_info_.prompt_tokens},
        placement, Now());
    const ServingTarget* spec = context_->GetTargets()->Find(placement.target);
    if (spec == nullptr) {
      FinishAttempt(TargetOutcome::kAbandoned);
      Retry("target_gone");
      return;
    }
    if (!ConfirmAdmission(false)) {
      return;
    }
    target_ = *spec;
    run_ = TargetRun::Make(properties_, attempt_->Incarnation(), BootNow());
    expected_ = placement.expected;
    DispatchInfo info;
    info.target_id = spec->id;
    info.workspace = Workspace();
    info.time_left = deadline_ - Now();
    info.resume_after = response_.LastEventId();
    TargetCall::Plan plan;
    plan.target = Address::Parse(spec->address);
    plan.request_id = request_info_.id;
    plan.bytes = FormatRequest(
        request_.head.method, request_.head.target,
        context_->GetCodec()->BuildRequestHeaders(
            EndToEndHeaders(request_.head.headers), info),
        request_.body, request_.head.framing != BodyFraming::kNone);
    plan.is_head = request_.head.method == "HEAD";
    // Without an ID, an extra response can't be told from the own one.
    plan.may_reuse = admission_.route->MayRepeat() && !request_info_.id.empty();
    plan.connect_by = Now() + kConnectTimeout;
    plan.user_timeout = kUnackedDataTimeout;
    plan.limits = kResponseLimits;
    plan.budget = context_->GetResponseBudget();
    response_.StartAttempt();
    is_paused_ = false;
    call_ =
        TargetCall::Start(context_->GetLoop(), context_->GetConnectionPool(),
                          context_->GetCodec(), std::move(plan), Callbacks());
    if (placement.queue_wait > Duration(0)) {
      context_->GetMetrics()->Count("sends_beyond_slots_total", "service",
                                    spec->service);
    }
    context_->GetLog()->Info(
        Now(), "event=placed id={} target={} expected_ms={:.1f} attempt={}",
        request_info_.id, placement.target, ToMs(placement.expected),
        executions_ + 1);
  }

  TargetCall::Callbacks Callbacks() {
    TargetCall::Callbacks callbacks;
    callbacks.may_send = [this] { return ConfirmSend(); };
    callbacks.on_statement = [this](const TargetStatement& statement,
                                    bool is_signed_response) {
      context_->OnTargetStatement(target_, statement,
                                  is_signed_response
                                      ? std::optional<Time>(run_.sent_at)
                                      : std::nullopt);
    };
    callbacks.on_load = [this](const std::optional<TargetLoadReport>& load,
                               bool is_invalid) {
      context_->OnTargetLoad(target_, load, is_invalid);
    };
    callbacks.on_head = [this](const MessageHead& head) { OnHead(head); };
    callbacks.on_body = [this](std::string* body) { OnBody(body); };
    callbacks.on_done = [this] { OnResponseEnd(); };
    callbacks.on_failure = [this](CallFailure failure) { OnFailure(failure); };
    return callbacks;
  }

  // Last check before the first byte is sent.
  bool ConfirmSend() {
    if (RefusedForLosses()) {
      return false;
    }
    if (!ConfirmAdmission(true)) {
      return false;
    }
    if (!may_have_run_ && !context_->EndsBeforeExit(admission_.route->name)) {
      FinishAttempt(TargetOutcome::kAbandoned);
      Refuse(RefusalReason::kDraining, kDrainRetryAfter);
      return false;
    }
    if (!context_->GetTargets()->AcceptsRequests(attempt_->Target(), Now())) {
      const char* cause =
          context_->GetTargets()->IsEvacuated(attempt_->Target())
              ? "target_evacuated"
          : IsTargetResting() ? "target_resting"
                              : "target_leaving";
      FinishAttempt(TargetOutcome::kAbandoned);
      Retry(cause);
      return false;
    }
    if (!context_->GetTargets()->ConfirmLimit(
            attempt_->Target(), attempt_->IsCountedByLimit(), Now())) {
      FinishAttempt(TargetOutcome::kAbandoned);
      Retry("target_limited");
      return false;
    }
    // A suspension may have ended just now.
    context_->GetTargets()->SetSuspendedTime(BootNow() - Now());
    if (!context_->GetTargets()->ConfirmCold(
            attempt_->Target(), attempt_->IsCountedAsCold(), Now())) {
      FinishAttempt(TargetOutcome::kAbandoned);
      Retry("target_cold");
      return false;
    }
    LogSendToLimited();
    if (context_->GetTargets()->IsCold(attempt_->Target(), Now())) {
      context_->GetMetrics()->Count("sends_to_cold_total", "service", service_);
    }
    run_.sent_at = BootNow();
    is_sent_ = true;
    attempt_->OnSent();
    context_->SetInFlight(id_, this);
    if (admission_.is_trial) {
      Losses()->OnTrialSent(properties_, BootNow());
      context_->OnLossesChange();
    }
    if (executions_ == 0 && !first_attempt_counted_) {
      first_attempt_counted_ = true;
      context_->OnFirstAttempt(service_);
    }
    ++executions_;
    may_have_run_before_ = may_have_run_;
    may_have_run_ = true;
    return true;
  }

  // Checks the admission by the configuration in force. If it has changed what
  // the request's target or headers follow from, the request is placed again.
  // @param has_headers whether the headers for the target have been formatted
  // @return false if the attempt has ended
  bool ConfirmAdmission(bool has_headers) {
    AdmissionController* const admission = context_->GetAdmission();
    if (admission->IsCurrent(admission_, BootNow())) {
      return true;
    }
    const std::string workspace = Workspace();
    const AllowedRegions regions = Need().allowed_regions;
    const RefusalReason refusal =
        admission->Revalidate(Query(), may_have_run_, &admission_);
    if (refusal != RefusalReason::kNone) {
      FinishAttempt(TargetOutcome::kAbandoned);
      Refuse(refusal, std::max(kNotExecutedRetryAfter, admission_.retry_after));
      return false;
    }
    if (Workspace() != workspace) {
      context_->GetLog()->Info(
          Now(), "event=workspace_changed id={} from={} to={} charged={:.0f}",
          request_info_.id, workspace, Workspace(), admission_.charged);
    }
    if (Need().allowed_regions != regions ||
        (has_headers && Workspace() != workspace)) {
      FinishAttempt(TargetOutcome::kAbandoned);
      Retry("workspace_changed");
      return false;
    }
    return true;
  }

  void LogSendToLimited() const {
    const std::optional<TargetLimits::Limit> limit =
        context_->GetTargets()->Limits()->Find(TargetInstance::Of(target_),
                                               BootNow());
    if (!limit.has_value()) {
      return;
    }
    context_->GetMetrics()->Count("sends_to_limited_total", "service",
                                  service_);
    context_->GetLog()->Info(
        Now(),
        "event=sent_to_limited id={} target={} per_second={:.3f} "
        "limit_age_ms={:.1f} attempt={} resumes={}",
        request_info_.id, attempt_->Target(), limit->per_second,
        ToMs(limit->age), executions_ + 1, response_.HasStarted());
  }

  void OnHead(const MessageHead& head) {
    const ResponseKind kind = response_.OnHead(head);
    // Anything else may come from another process at the target's address.
    if (kind == ResponseKind::kStream || kind == ResponseKind::kBuffered) {
      began_at_ = BootNow();
      Losses()->OnTargetAnswered(run_.target, run_.sent_at, began_at_);
      context_->OnLossesChange();
    }
    if (kind == ResponseKind::kBuffered) {
      OnFirstEvent();
    } else if (kind != ResponseKind::kStream) {
      rest_timer_ = context_->GetLoop()->Timers()->At(
          Now() + kRestTimeout, [this](Time) { OnRestTimeout(); });
    }
  }

  void OnRestTimeout() {
    // No other answer replaces a refusal of the request itself, which may be
    // received long before its target has read the request.
    const bool is_refusal = response_.Kind() == ResponseKind::kFailure &&
                            response_.Status() < kMinServerFault;
    if (!is_refusal || !call_->IsAwaitingDelivery()) {
      OnUnusableRest("rest_too_slow");
    }
  }

  // Ends an attempt whose target goes on sending a body without use.
  void OnUnusableRest(const char* cause) {
    if (response_.Kind() == ResponseKind::kNotExecuted) {
      OnNotExecuted();
    } else {
      OnBadResponse(cause);
    }
  }

  void OnFirstEvent() {
    if (!attempt_.has_value()) {
      return;
    }
    context_->SetInFlight(id_, nullptr);
    const std::optional<Duration> after = attempt_->OnFirstEvent(Now());
    if (after.has_value()) {
      context_->GetMetrics()->Observe("first_event_seconds", "service",
                                      service_, ToSeconds(*after));
    }
  }

  void OnBody(std::string* body) {
    if (response_.Kind() == ResponseKind::kStream) {
      OnFirstEvent();
    }
    if (response_.Kind() == ResponseKind::kStream ||
        response_.Kind() == ResponseKind::kBuffered) {
      Losses()->OnTargetHeard(run_.target, BootNow());
      OnAnswerBytes();
    }
    if (response_.Kind() == ResponseKind::kStream && attempt_.has_value() &&
        admission_.route->kind == RouteKind::kStreaming) {
      attempt_->OnStreamBytes(Now());
      if (pause_timer_ == nullptr) {
        WatchPauses();
      }
    }
    response_.OnBody(body, Now());
    const BodyLimit limit = response_.ExceededLimit();
    if (limit != BodyLimit::kNone) {
      CountTargetResponse(BodyLimitName(limit));
      OnUnusableRest(BodyLimitName(limit));
      return;
    }
    if (response_.IsCallerBehind() && call_ != nullptr) {
      is_paused_ = true;
      call_->SetReading(false);
      if (attempt_.has_value()) {
        attempt_->SkipPause();
      }
    }
  }

  void WatchPauses() {
    const std::optional<Time> due = attempt_->PauseCheckDue(Now());
    if (!due.has_value()) {
      pause_timer_.reset();
      return;
    }
    pause_timer_ = context_->GetLoop()->Timers()->At(
        *due, [this, due](Time) { OnPauseTimer(*due); });
  }

  void OnPauseTimer(Time due) {
    if (!attempt_.has_value()) {
      pause_timer_.reset();
      return;
    }
    // The process was suspended, so that bytes may have arrived in time.
    if (Now() - due > kMaxTimerDelay) {
      attempt_->SkipPause();
    }
    attempt_->CheckPause(Now());
    WatchPauses();
  }

  void OnAnswerBytes() {
    if (attempt_.has_value()) {
      context_->GetTargets()->OnAnswerBytes(attempt_->Target(), run_.sent_at,
                                            Now());
      context_->OnColdChange();
    }
  }

  void OnResponseEnd() {
    const StreamFault fault = response_.CheckStreamEnd();
    CountTargetResponse(fault == StreamFault::kNone
                            ? BodyFramingName(response_.Framing())
                            : StreamFaultName(fault));
    switch (response_.Kind()) {
      case ResponseKind::kStream:
        if (fault != StreamFault::kNone) {
          OnTargetLost(StreamFaultName(fault));
          OnBadResponse(StreamFaultName(fault), TargetOutcome::kLost);
        } else {
          FinishStream();
        }
        return;
      case ResponseKind::kBuffered:
        SendBufferedResponse();
        return;
      case ResponseKind::kFailure:
        OnTargetFailure();
        return;
      case ResponseKind::kNotExecuted:
        OnNotExecuted();
        return;
      case ResponseKind::kUnsigned:
      case ResponseKind::kNone:
        OnBadResponse("unsigned");
        return;
    }
  }

  // A complete answer rules the request out as the cause of lost targets. One
  // that ends with its connection may have been cut by a crash.
  void ClearLosses() {
    is_sent_ = false;
    context_->GetTargets()->OnAnswerComplete(attempt_->Target(), run_.sent_at,
                                             Now());
    context_->OnColdChange();
    if (response_.Framing() == BodyFraming::kUntilClose) {
      Losses()->OnUnprovenAnswer(run_, began_at_, BootNow());
    } else {
      Losses()->OnAnswered(run_, began_at_, BootNow());
    }
    context_->OnLossesChange();
  }

  void FinishStream() {
    ClearLosses();
    context_->OnAnswered(admission_.route->name, Now() - request_.arrival);
    response_.FinishStream();
    Finish("answered", TargetOutcome::kAnswered);
    sink_->EndBody();
  }

  void SendBufferedResponse() {
    ClearLosses();
    context_->OnAnswered(admission_.route->name, Now() - request_.arrival);
    Finish("answered", TargetOutcome::kAnswered);
    response_.SendBuffered();
  }

  void OnTargetFailure() {
    const bool is_server_fault = response_.Status() >= kMinServerFault;
    const std::string target = attempt_->Target();
    if (response_.HasStarted()) {
      OnBadResponse("failed_resume");
      return;
    }
    if (is_server_fault && admission_.route->MayRepeat() &&
        TakeRetryIfAllowed()) {
      FinishAttempt(TargetOutcome::kFailed);
      tried_targets_.push_back(target);
      Retry("target_failed");
      return;
    }
    const TargetOutcome outcome =
        is_server_fault ? TargetOutcome::kFailed : TargetOutcome::kRejected;
    context_->GetLog()->Warning(Now(),
                                "event=target_failed id={} target={} status={}",
                                request_info_.id, target, response_.Status());
    if (PromisesNotExecuted(response_.Status())) {
      // The target may have executed the request, so the caller must not get a
      // status that guarantees the opposite.
      FinishAttempt(outcome);
      Refuse(RefusalReason::kBadAnswer, std::nullopt);
      return;
    }
    Finish("target_failed", outcome);
    response_.SendBuffered();
  }

  void OnNotExecuted() {
    --executions_;
    may_have_run_ = may_have_run_before_;
    // A target that rests may take the request afterwards.
    if (!IsTargetResting()) {
      tried_targets_.push_back(attempt_->Target());
    }
    FinishAttempt(TargetOutcome::kNotRun);
    if (response_.HasStarted()) {
      AbortResponse("resume_not_run");
      return;
    }
    if (context_->TryTakeRetry(service_)) {
      Retry("not_run");
      return;
    }
    Refuse(RefusalReason::kNotRun,
           context_->GetQueue()
               ->TimeToOpening(Need(), admission_.rank, Now())
               .value_or(kNotExecutedRetryAfter));
  }

  void OnFailure(CallFailure failure) {
    const std::string target = attempt_->Target();
    if (failure == CallFailure::kConnectFailed) {
      Losses()->OnTargetUnreached(run_.target, BootNow());
      context_->OnLossesChange();
      FinishAttempt(TargetOutcome::kUnreached);
      tried_targets_.push_back(target);
      ++connect_failures_;
      if (connect_failures_ < kMaxConnectFailures) {
        Retry("unreached");
      } else {
        Fail(RefusalReason::kUnreached);
      }
      return;
    }
    CountTargetResponse(CallFailureName(failure));
    if (failure == CallFailure::kMalformed ||
        failure == CallFailure::kUnidentified) {
      OnBadResponse(CallFailureName(failure));
      return;
    }
    OnTargetLost(CallFailureName(failure));
    OnBadResponse(CallFailureName(failure), TargetOutcome::kLost);
  }

  // Counts a target's connection that ended before its response did against
  // the request's properties: the target may have crashed. Engines send the
  // head as soon as a request runs, so this can happen at any stage of the
  // response.
  void OnTargetLost(const char* cause) {
    const char* stage = response_.Kind() == ResponseKind::kNone ? "before_head"
                        : response_.EventCount() == 0           ? "before_event"
                                                                : "after_event";
    admission_.is_trial = false;
    is_sent_ = false;
    Losses()->OnTargetLost(run_, BootNow());
    context_->GetMetrics()->Count("target_losses_total", "stage", stage);
    context_->GetLog()->Warning(
        Now(), "event=target_lost id={} target={} cause={} stage={} {}",
        request_info_.id, attempt_->Target(), cause, stage, LossDetails());
    context_->OnLossesChange();
  }

  // Counts a target that has sent nothing for much longer than expected, unless
  // this process was paused and may not have read it.
  void CountIfSilent() {
    if (!is_sent_ || response_.Kind() != ResponseKind::kNone ||
        Now() - deadline_ > kMaxTimerDelay ||
        BootNow() - run_.sent_at <
            std::max(kMinSilence, kMinSilenceFactor * expected_)) {
      return;
    }
    is_sent_ = false;
    Losses()->OnSilent(run_, BootNow());
    context_->GetMetrics()->Count("target_losses_total", "stage", "silent");
    context_->GetLog()->Warning(
        Now(), "event=target_silent id={} target={} expected_ms={:.1f} {}",
        request_info_.id, attempt_->Target(), ToMs(expected_), LossDetails());
    context_->OnLossesChange();
  }

  // Fields of log lines that tell what the request has in common with others,
  // and how many targets were lost with the property that lost most, as far as
  // this VM knows.
  std::string LossDetails() const {
    int most = 0;
    for (const RequestProperty& property : properties_) {
      most = std::max(most, Losses()->Losses(property));
    }
    return fmt::format("losses={} properties={}", most,
                       PropertiesToString(properties_));
  }

  // Counts how a target's response ended: the framing that completed it, or
  // why it is incomplete.
  void CountTargetResponse(const char* end) {
    context_->GetMetrics()->Count("target_responses_total", "end", end);
  }

  // Fields of log lines that tell how the target's response ended.
  std::string ResponseDetails() const {
    return fmt::format("framing={} events={} partial_bytes={} paused={}",
                       BodyFramingName(response_.Framing()),
                       response_.EventCount(), response_.PartialEventBytes(),
                       is_paused_);
  }

  // Handles a response that is incomplete or invalid. The target may have
  // executed the request.
  void OnBadResponse(const char* cause,
                     TargetOutcome outcome = TargetOutcome::kBroken) {
    const std::string target = attempt_->Target();
    context_->GetLog()->Warning(
        Now(), "event=bad_answer id={} target={} cause={} {}", request_info_.id,
        target, cause, ResponseDetails());
    FinishAttempt(outcome);
    tried_targets_.push_back(target);
    if (admission_.route->MayRepeat() && response_.CanResume() &&
        TakeRetryIfAllowed()) {
      Retry(cause);
      return;
    }
    Fail(RefusalReason::kBadAnswer);
  }

  bool TakeRetryIfAllowed() {
    return executions_ < admission_.route->max_attempts &&
           deadline_ - Now() > kMinRetryTime &&
           context_->TryTakeRetry(service_);
  }

  void Retry(const char* cause) {
    context_->GetMetrics()->Count("retries_total", "reason", cause);
    context_->GetLog()->Warning(Now(), "event=again id={} cause={} runs={}",
                                request_info_.id, cause, executions_);
    CancelCall();
    if (RefusedForLosses()) {
      return;
    }
    const Time now = Now();
    const ServingRoute& route = *admission_.route;
    const Duration allowed =
        response_.HasStarted() && route.max_pause > Duration(0)
            ? route.max_pause
            : route.objective;
    Enqueue(now, now + allowed);
  }

  // Ends the request if one of its properties is refused, at any point between
  // two sends.
  bool RefusedForLosses() {
    if (admission_.is_trial || Losses()->RefusedOf(properties_).empty()) {
      return false;
    }
    Refuse(RefusalReason::kPoison,
           context_->GetAdmission()->TrialRetryAfter(
               properties_, Hash32(request_info_.id), BootNow()));
    return true;
  }

  // Takes back a request that its target has not begun to answer, if it is
  // likely to crash the target. Properties that were answered recently may be
  // refused by mistake, so they are left to run.
  void WithdrawIfRefused() {
    const std::vector<RequestProperty> refused =
        Losses()->RefusedOf(properties_);
    if (admission_.is_trial || std::all_of(refused.begin(), refused.end(),
                                           [this](RequestProperty property) {
                                             return Losses()->IsTrusted(
                                                 property, BootNow());
                                           })) {
      return;
    }
    context_->GetLog()->Warning(Now(), "event=withdrawn id={} target={}",
                                request_info_.id, attempt_->Target());
    RefusedForLosses();
  }

  void Fail(RefusalReason reason) { Refuse(reason, kNotExecutedRetryAfter); }

  void OnDeadline() {
    if (is_done_) {
      return;
    }
    CountIfSilent();
    FinishAttempt(attempt_.has_value() && !attempt_->HadFirstEvent()
                      ? TargetOutcome::kBroken
                      : TargetOutcome::kAbandoned);
    Fail(RefusalReason::kTimedOut);
  }

  void AbortResponse(const char* cause) {
    context_->GetLog()->Warning(
        Now(), "event=broken_off id={} cause={} events={}", request_info_.id,
        cause, response_.EventCount());
    Finish("broken_off", TargetOutcome::kAbandoned);
    sink_->Abort();
  }

  // Sends the scheduler's own final response. Its status guarantees that the
  // request was not executed only if no byte of it may have been sent. A
  // response that has started can only be aborted, so that the caller sees it
  // as incomplete.
  void Refuse(RefusalReason reason, std::optional<Duration> retry_after) {
    if (response_.HasStarted()) {
      AbortResponse(RefusalName(reason));
      return;
    }
    const int status = RefusalStatus(reason, may_have_run_);
    context_->GetMetrics()->Count("refusals_total", "reason",
                                  RefusalName(reason));
    context_->GetLog()->Warning(
        Now(),
        "event=refused id={} reason={} status={} after_ms={:.1f} "
        "retry_after_ms={:.0f} version={} {}",
        request_info_.id, RefusalName(reason), status,
        ToMs(Now() - request_.arrival),
        retry_after.has_value() ? ToMs(*retry_after) : 0.0,
        admission_.table == nullptr ? 0 : admission_.table->Config().version,
        LossDetails());
    if (!may_have_run_ && admission_.charged > 0) {
      context_->GetAdmission()->Quotas()->Refund(Workspace(),
                                                 admission_.charged);
    }
    if (!PromisesNotExecuted(status)) {
      retry_after.reset();
    }
    Finish("refused", TargetOutcome::kAbandoned);
    sink_->SendResponse(
        status, "",
        context_->GetCodec()->BuildOwnResponseHeaders(request_info_.id,
                                                      retry_after),
        fmt::format(R"({{"error":"{}"}})", RefusalName(reason)));
  }

  void Finish(const char* outcome, TargetOutcome target_outcome) {
    context_->GetMetrics()->Count("requests_total", "outcome", outcome);
    context_->GetLog()->Info(
        Now(),
        "event=ended id={} outcome={} after_ms={:.1f} first_event_ms={:.1f} "
        "longest_pause_ms={:.1f} route={} target={} {}",
        request_info_.id, outcome, ToMs(Now() - request_.arrival),
        ToMs(response_.TimeToFirstEvent()), ToMs(response_.LongestPause()),
        admission_.route == nullptr ? "" : admission_.route->name,
        attempt_.has_value() ? attempt_->Target() : "", ResponseDetails());
    is_done_ = true;
    ReleaseResources(target_outcome);
  }

  // Releases the timer, the queue entry, the target and the call.
  void ReleaseResources(TargetOutcome outcome) {
    deadline_timer_.reset();
    if (is_waiting_) {
      is_waiting_ = false;
      context_->GetQueue()->Remove(id_);
      context_->SetWaiting(id_, nullptr);
    }
    FinishAttempt(outcome);
    CancelCall();
  }

  void FinishAttempt(TargetOutcome outcome) {
    rest_timer_.reset();
    pause_timer_.reset();
    context_->SetInFlight(id_, nullptr);
    if (!attempt_.has_value()) {
      return;
    }
    if (std::exchange(is_sent_, false) &&
        (outcome == TargetOutcome::kAbandoned ||
         outcome == TargetOutcome::kBroken)) {
      Losses()->OnAbandoned(run_, BootNow());
    }
    attempt_->Finish(outcome, may_have_run_, Now());
    attempt_.reset();
    context_->OnColdChange();
    context_->ScheduleDecisions();
  }

  // The call may be on the call stack, so it is freed from the loop.
  void CancelCall() {
    if (call_ != nullptr) {
      call_->Cancel();
      const std::shared_ptr<TargetCall> released = std::move(call_);
      context_->GetLoop()->Post([released] {});
    }
  }

  ExchangeContext* const context_;
  ResponseSink* const sink_;
  const CallerRequest request_;
  const RequestInfo request_info_;
  const std::vector<RequestProperty> properties_;
  const std::uint64_t id_;
  Admission admission_;
  std::string service_;
  Time deadline_;
  std::unique_ptr<TimerService::Subscription> deadline_timer_;
  std::unique_ptr<TimerService::Subscription> rest_timer_;
  std::unique_ptr<TimerService::Subscription> pause_timer_;
  std::vector<std::string> tried_targets_;
  std::optional<TargetAttempt> attempt_;
  /// Latest attempt, and when its response began, on the suspension-aware
  /// clock.
  TargetRun run_;
  Time began_at_;
  ServingTarget target_;  ///< of the latest attempt
  Duration expected_{0};  ///< from the latest send to the first event
  bool is_sent_ = false;  ///< `run_` is sent and has not ended
  std::unique_ptr<TargetCall> call_;
  ResponseForwarder response_;
  int executions_ = 0;  ///< sends, except those that a target did not execute
  int connect_failures_ = 0;
  bool is_waiting_ = false;
  bool is_paused_ = false;
  bool is_done_ = false;
  bool may_have_run_ = false;
  bool may_have_run_before_ = false;  ///< value before the latest send
  bool first_attempt_counted_ = false;
};

}  // namespace

std::unique_ptr<Exchange> Exchange::Start(ExchangeContext* context,
                                          CallerRequest request,
                                          ResponseSink* sink) {
  std::unique_ptr<ExchangeImpl> exchange =
      std::make_unique<ExchangeImpl>(context, std::move(request), sink);
  exchange->Begin();
  return exchange;
}

}  // namespace hornbeamcleat
