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
#include "src/relay/answer_passer.h"
#include "src/relay/dialect.h"
#include "src/relay/held_place.h"
#include "src/relay/http_writer.h"
#include "src/relay/request_log.h"
#include "src/relay/target_pool.h"

namespace hornbeamcleat {
namespace {

/// Time for a connection to a target: a few round trips of the slowest link.
/// A target whose queue of connections is full doesn't answer for seconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(120);
/// Unacknowledged bytes on a target's connection end it after this time.
constexpr Duration kSilenceLimit = std::chrono::seconds(3);
/// Targets that may be found unreachable before a request is given up.
constexpr int kMostUnreached = 4;
constexpr MessageLimits kAnswerLimits = {65'536, std::size_t{1} << 40};
/// Time that must be left for another attempt to be worth it.
constexpr Duration kLeastRetryTime = std::chrono::milliseconds(50);
/// When to come back after targets turned a request away.
constexpr Duration kNotRunRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kDrainRetryAfter = std::chrono::milliseconds(50);
// A status by which a scheduler promises that a request has not run.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

double ToMs(Duration d) { return static_cast<double>(d.count()) / 1'000.0; }

class LiveExchange : public Exchange {
 public:
  LiveExchange(ExchangeHost* host, CallerRequest request, AnswerSink* sink)
      : host_(host),
        sink_(sink),
        request_(std::move(request)),
        facts_(host->GetDialect()->ReadRequest(request_.head.headers)),
        number_(host->NextNumber()),
        answer_(host->GetDialect(), sink, request_.arrival) {}

  ~LiveExchange() override {
    if (!is_done_) {
      host_->GetLog()->Progress(Now(), "event=caller_left id={} sent={}",
                                facts_.id, may_have_run_);
      host_->GetMetrics()->Count("requests_total", "outcome", "caller_left");
      Retire(TargetOutcome::kAbandoned);
    }
  }

  void Begin() {
    if (host_->TurnsAway()) {
      Refuse(RefusalReason::kDraining, kDrainRetryAfter);
      return;
    }
    admission_ = host_->Desk()->Admit(Query());
    if (admission_.refusal == RefusalReason::kOverQuota) {
      host_->GetLog()->Trouble(
          Now(),
          "event=over_quota id={} workspace={} tokens={} level={:.0f} "
          "rate={} burst={} unheard={}",
          facts_.id, Workspace(), facts_.quota_tokens, admission_.quota.level,
          admission_.workspace->rate_per_second, admission_.workspace->burst,
          admission_.quota.unreachable_peers);
    }
    if (!admission_.IsAdmitted()) {
      Refuse(admission_.refusal, admission_.retry_after);
      return;
    }
    const ServingRoute& route = *admission_.route;
    answer_.SetRoute(&route);
    service_ = PickService(route, Hash64(facts_.id));
    give_up_at_ =
        request_.arrival +
        std::min(route.timeout, facts_.patience.value_or(route.timeout));
    host_->GetLog()->Progress(
        Now(),
        "event=admitted id={} route={} service={} rank={} workspace={} "
        "charged={:.0f} level={:.0f} version={}",
        facts_.id, route.name, service_, admission_.rank, Workspace(),
        admission_.charged, admission_.quota.level,
        admission_.table->Config().version);
    give_up_timer_ =
        host_->Loop()->Timers()->At(give_up_at_, [this](Time) { OnTimeOut(); });
    Enqueue(request_.arrival, request_.arrival + route.objective);
  }

  void OnDecision(const WaitDecision& decision) override {
    host_->SetWaiting(number_, nullptr);
    is_waiting_ = false;
    host_->GetMetrics()->Observe("wait_seconds", "service", service_,
                                 ToSeconds(decision.waited));
    if (decision.kind == WaitDecision::Kind::kRefuse) {
      host_->GetLog()->Trouble(
          Now(), "event=no_place id={} ahead={} free={} waited_ms={:.1f}",
          facts_.id, decision.ahead, decision.free_slots,
          ToMs(decision.waited));
      Refuse(RefusalReason::kNoPlace, decision.retry_after);
      return;
    }
    Send(decision.placement);
  }

  void OnFlushed() override {
    if (call_ != nullptr && is_paused_) {
      is_paused_ = false;
      call_->SetReading(true);
    }
  }

 private:
  Time Now() const { return host_->GetClock()->Now(); }

  std::string Workspace() const {
    return admission_.workspace == nullptr ? std::string()
                                           : admission_.workspace->name;
  }

  std::string Path() const {
    return request_.head.target.substr(0, request_.head.target.find('?'));
  }

  std::uint64_t Fingerprint() const {
    return Hash64(request_.body,
                  Hash64(facts_.key, Hash64(request_.head.target)));
  }

  AdmissionQuery Query() const {
    AdmissionQuery query;
    query.host = *FindHeader(request_.head.headers, "Host");
    query.path = Path();
    query.key = facts_.key;
    query.states_tokens = facts_.states_tokens;
    query.tokens = facts_.quota_tokens;
    query.fingerprint = Fingerprint();
    query.now = Now();
    query.boot_now = host_->GetClock()->SuspendAwareNow();
    return query;
  }

  void Enqueue(Time since, Time on_time_until) {
    WaitingRequest waiting;
    waiting.id = number_;
    waiting.rank = admission_.rank;
    waiting.route_rank = admission_.route->rank;
    waiting.arrival = since;
    waiting.objective_deadline = on_time_until;
    waiting.deadline = give_up_at_;
    waiting.need.service = service_;
    waiting.need.prompt_tokens = facts_.prompt_tokens;
    waiting.need.max_pause = admission_.route->max_pause;
    waiting.need.failure_domain = host_->FailureDomain();
    waiting.need.tried = tried_;
    waiting.need.seed = Hash32(facts_.id);
    host_->Line()->Add(waiting);
    is_waiting_ = true;
    host_->SetWaiting(number_, this);
    host_->RequestDecisions();
  }

  void Send(const Placement& placement) {
    held_.emplace(
        HeldPlace::Watchers{host_->Board(), host_->Line(), host_->Moves()},
        HeldPlace::Request{service_, admission_.route->name,
                           facts_.prompt_tokens},
        placement, Now());
    const ServingTarget* spec = host_->Board()->Find(placement.target);
    if (spec == nullptr) {
      Release(TargetOutcome::kAbandoned);
      TryAgain("target_gone");
      return;
    }
    DispatchFacts facts;
    facts.target_id = spec->id;
    facts.workspace = Workspace();
    facts.time_left = give_up_at_ - Now();
    facts.resume_after = answer_.LastEventId();
    TargetCall::Plan plan;
    plan.target = Address::Parse(spec->address);
    plan.request_id = facts_.id;
    plan.bytes = FormatRequest(
        request_.head.method, request_.head.target,
        host_->GetDialect()->WriteRequest(
            EndToEndHeaders(request_.head.headers), facts),
        request_.body, request_.head.framing != BodyFraming::kNone);
    plan.is_head = request_.head.method == "HEAD";
    plan.may_reuse = admission_.route->MayRepeat();
    plan.connect_by = Now() + kConnectTimeout;
    plan.silence_limit = kSilenceLimit;
    plan.limits = kAnswerLimits;
    answer_.StartAttempt();
    call_ = TargetCall::Start(host_->Loop(), host_->Pool(), host_->GetDialect(),
                              std::move(plan), Callbacks());
    host_->GetLog()->Progress(
        Now(), "event=placed id={} target={} expected_ms={:.1f} attempt={}",
        facts_.id, placement.target, ToMs(placement.expected), runs_ + 1);
  }

  TargetCall::Callbacks Callbacks() {
    TargetCall::Callbacks callbacks;
    callbacks.may_send = [this] { return MaySend(); };
    callbacks.on_head = [this](const MessageHead& head) { OnHead(head); };
    callbacks.on_body = [this](std::string* body) { OnBody(body); };
    callbacks.on_done = [this] { OnAnswerEnd(); };
    callbacks.on_failure = [this](CallFailure failure) { OnFailure(failure); };
    return callbacks;
  }

  // Last check before the first byte leaves.
  bool MaySend() {
    const RefusalReason refusal = host_->Desk()->Revalidate(
        admission_, facts_.key, host_->GetClock()->SuspendAwareNow());
    if (refusal != RefusalReason::kNone) {
      Release(TargetOutcome::kAbandoned);
      Refuse(refusal, kNotRunRetryAfter);
      return false;
    }
    if (!host_->Board()->AcceptsRequests(held_->Target())) {
      tried_.push_back(held_->Target());
      Release(TargetOutcome::kAbandoned);
      TryAgain("target_leaving");
      return false;
    }
    if (runs_ == 0 && !counted_first_) {
      counted_first_ = true;
      host_->OnFirstAttempt(service_);
    }
    ++runs_;
    ran_before_ = may_have_run_;
    may_have_run_ = true;
    return true;
  }

  void OnHead(const MessageHead& head) {
    if (answer_.TakeHead(head) == AnswerKind::kHeld) {
      OnFirstEvent();
    }
  }

  void OnFirstEvent() {
    if (!held_.has_value()) {
      return;
    }
    const std::optional<Duration> after = held_->OnFirstEvent(Now());
    if (after.has_value()) {
      host_->GetMetrics()->Observe("first_event_seconds", "service", service_,
                                   ToSeconds(*after));
    }
  }

  void OnBody(std::string* body) {
    if (answer_.Kind() == AnswerKind::kStream) {
      OnFirstEvent();
    }
    answer_.TakeBody(body, Now());
    if (answer_.IsFull() && call_ != nullptr) {
      is_paused_ = true;
      call_->SetReading(false);
    }
  }

  void OnAnswerEnd() {
    switch (answer_.Kind()) {
      case AnswerKind::kStream:
        EndStream();
        return;
      case AnswerKind::kHeld:
        PassWhole();
        return;
      case AnswerKind::kFailure:
        OnTargetFailure();
        return;
      case AnswerKind::kNotRun:
        OnNotRun();
        return;
      case AnswerKind::kUnsigned:
      case AnswerKind::kNone:
        OnBadAnswer("unsigned");
        return;
    }
  }

  void EndStream() {
    host_->Desk()->Poison()->OnServed(Fingerprint(), Now());
    if (!answer_.EndStream()) {
      OnBadAnswer("partial_event");
      return;
    }
    Complete("answered", TargetOutcome::kAnswered);
    sink_->EndBody();
  }

  void PassWhole() {
    host_->Desk()->Poison()->OnServed(Fingerprint(), Now());
    Complete("answered", TargetOutcome::kAnswered);
    answer_.PassWhole();
  }

  void OnTargetFailure() {
    const bool is_server_fault = answer_.Status() >= 500;
    const std::string target = held_->Target();
    if (answer_.HasBegun()) {
      OnBadAnswer("failed_resume");
      return;
    }
    if (is_server_fault && admission_.route->MayRepeat() && MayRetry()) {
      Release(TargetOutcome::kFailed);
      tried_.push_back(target);
      TryAgain("target_failed");
      return;
    }
    const TargetOutcome outcome =
        is_server_fault ? TargetOutcome::kFailed : TargetOutcome::kAnswered;
    host_->GetLog()->Trouble(Now(),
                             "event=target_failed id={} target={} status={}",
                             facts_.id, target, answer_.Status());
    if (IsPromise(answer_.Status())) {
      // The target ran the request, so its caller must not take this for a
      // promise that it did not.
      Release(outcome);
      Refuse(RefusalReason::kBadAnswer, std::nullopt);
      return;
    }
    Complete("target_failed", outcome);
    answer_.PassWhole();
  }

  void OnNotRun() {
    --runs_;
    may_have_run_ = ran_before_;
    tried_.push_back(held_->Target());
    Release(TargetOutcome::kNotRun);
    if (answer_.HasBegun()) {
      BreakOff("resume_not_run");
      return;
    }
    if (host_->TakeRetry(service_)) {
      TryAgain("not_run");
      return;
    }
    Refuse(RefusalReason::kNotRun, kNotRunRetryAfter);
  }

  void OnFailure(CallFailure failure) {
    const std::string target = held_->Target();
    if (failure == CallFailure::kUnreached) {
      Release(TargetOutcome::kUnreached);
      tried_.push_back(target);
      ++unreached_;
      if (unreached_ < kMostUnreached) {
        TryAgain("unreached");
      } else {
        GiveUp(RefusalReason::kUnreached);
      }
      return;
    }
    if (failure == CallFailure::kBroken &&
        answer_.Kind() == AnswerKind::kNone) {
      host_->Desk()->Poison()->OnTargetLost(Fingerprint(), target, Now());
    }
    OnBadAnswer(failure == CallFailure::kBroken ? "broken" : "malformed");
  }

  // The target may have run the request; no whole answer will come from it.
  void OnBadAnswer(const char* what) {
    const std::string target = held_->Target();
    host_->GetLog()->Trouble(Now(), "event=bad_answer id={} target={} cause={}",
                             facts_.id, target, what);
    Release(TargetOutcome::kBroken);
    tried_.push_back(target);
    if (admission_.route->MayRepeat() && answer_.CanGoOn() && MayRetry()) {
      TryAgain(what);
      return;
    }
    GiveUp(RefusalReason::kBadAnswer);
  }

  bool MayRetry() {
    return runs_ < admission_.route->max_attempts &&
           give_up_at_ - Now() > kLeastRetryTime && host_->TakeRetry(service_);
  }

  void TryAgain(const char* why) {
    host_->GetMetrics()->Count("retries_total", "reason", why);
    host_->GetLog()->Trouble(Now(), "event=again id={} cause={} runs={}",
                             facts_.id, why, runs_);
    DropCall();
    const Time now = Now();
    const ServingRoute& route = *admission_.route;
    const Duration allowed = answer_.HasBegun() && route.max_pause > Duration(0)
                                 ? route.max_pause
                                 : route.objective;
    Enqueue(now, now + allowed);
  }

  void GiveUp(RefusalReason reason) { Refuse(reason, kNotRunRetryAfter); }

  void OnTimeOut() {
    if (is_done_) {
      return;
    }
    Release(held_.has_value() && !held_->HadFirstEvent()
                ? TargetOutcome::kBroken
                : TargetOutcome::kAbandoned);
    GiveUp(RefusalReason::kTimedOut);
  }

  void BreakOff(const char* why) {
    host_->GetLog()->Trouble(Now(), "event=broken_off id={} cause={} events={}",
                             facts_.id, why, answer_.Events());
    Complete("broken_off", TargetOutcome::kAbandoned);
    sink_->BreakOff();
  }

  // Final answer of the scheduler's own. A promise that the request has not
  // run is given only if no byte of it may have left. Once an answer has begun,
  // all that is left is to end it visibly incomplete.
  void Refuse(RefusalReason reason, std::optional<Duration> retry_after) {
    if (answer_.HasBegun()) {
      BreakOff(RefusalName(reason));
      return;
    }
    const int status = RefusalStatus(reason, may_have_run_);
    host_->GetMetrics()->Count("refusals_total", "reason", RefusalName(reason));
    host_->GetLog()->Trouble(
        Now(),
        "event=refused id={} reason={} status={} after_ms={:.1f} "
        "retry_after_ms={:.0f} version={}",
        facts_.id, RefusalName(reason), status, ToMs(Now() - request_.arrival),
        retry_after.has_value() ? ToMs(*retry_after) : 0.0,
        admission_.table == nullptr ? 0 : admission_.table->Config().version);
    if (!may_have_run_ && admission_.charged > 0) {
      host_->Desk()->Quotas()->Refund(Workspace(), admission_.charged);
    }
    if (!IsPromise(status)) {
      retry_after.reset();
    }
    Complete("refused", TargetOutcome::kAbandoned);
    sink_->SendWhole(
        status, "", host_->GetDialect()->WriteOwnAnswer(facts_.id, retry_after),
        fmt::format(R"({{"error":"{}"}})", RefusalName(reason)));
  }

  void Complete(const char* outcome, TargetOutcome target_outcome) {
    host_->GetMetrics()->Count("requests_total", "outcome", outcome);
    host_->GetLog()->Progress(
        Now(),
        "event=ended id={} outcome={} after_ms={:.1f} first_event_ms={:.1f} "
        "longest_pause_ms={:.1f} route={} target={}",
        facts_.id, outcome, ToMs(Now() - request_.arrival),
        ToMs(answer_.FirstEventAfter()), ToMs(answer_.LongestPause()),
        admission_.route == nullptr ? "" : admission_.route->name,
        held_.has_value() ? held_->Target() : "");
    is_done_ = true;
    Retire(target_outcome);
  }

  // Gives back what the exchange holds outside.
  void Retire(TargetOutcome outcome) {
    give_up_timer_.reset();
    if (is_waiting_) {
      is_waiting_ = false;
      host_->Line()->Remove(number_);
      host_->SetWaiting(number_, nullptr);
    }
    Release(outcome);
    DropCall();
  }

  void Release(TargetOutcome outcome) {
    if (!held_.has_value()) {
      return;
    }
    held_->End(outcome, may_have_run_, Now());
    held_.reset();
    host_->RequestDecisions();
  }

  // The call may be on the stack; it is freed from the loop.
  void DropCall() {
    if (call_ != nullptr) {
      call_->Cancel();
      const std::shared_ptr<TargetCall> dead = std::move(call_);
      host_->Loop()->Post([dead] {});
    }
  }

  ExchangeHost* const host_;
  AnswerSink* const sink_;
  const CallerRequest request_;
  const RequestFacts facts_;
  const std::uint64_t number_;
  Admission admission_;
  std::string service_;
  Time give_up_at_;
  std::unique_ptr<TimerService::Subscription> give_up_timer_;
  std::vector<std::string> tried_;
  std::optional<HeldPlace> held_;
  std::unique_ptr<TargetCall> call_;
  AnswerPasser answer_;
  int runs_ = 0;  ///< sends that a target has not disowned
  int unreached_ = 0;
  bool is_waiting_ = false;
  bool is_paused_ = false;
  bool is_done_ = false;
  bool may_have_run_ = false;
  bool ran_before_ = false;  ///< may have run before the latest send
  bool counted_first_ = false;
};

}  // namespace

std::unique_ptr<Exchange> Exchange::Start(ExchangeHost* host,
                                          CallerRequest request,
                                          AnswerSink* sink) {
  std::unique_ptr<LiveExchange> exchange =
      std::make_unique<LiveExchange>(host, std::move(request), sink);
  exchange->Begin();
  return exchange;
}

}  // namespace hornbeamcleat
