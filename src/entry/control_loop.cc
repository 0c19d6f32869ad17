#include "src/entry/control_loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <utility>
#include <variant>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/entry/admin_server.h"
#include "src/entry/control_link.h"
#include "src/entry/request_metrics.h"
#include "src/entry/submission.h"
#include "src/entry/target_watch.h"
#include "src/net/poller.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr std::size_t kMaxUnsentReleases = 10'000;
constexpr Duration kReportPeriod = std::chrono::seconds(1);

class SchedulerLoop : public ControlLoop,
                      public ControlLinkHandler,
                      public TargetWatchHandler,
                      public AdminSource {
 public:
  SchedulerLoop(const EntryOptions& options,
                std::unique_ptr<Scheduler> scheduler, Metrics* metrics,
                Mailbox<ControlMessage>* inbox,
                Mailbox<TrafficMessage>* traffic)
      : options_(options),
        scheduler_(std::move(scheduler)),
        metrics_(metrics),
        request_metrics_(metrics),
        inbox_(inbox),
        traffic_(traffic),
        clock_(Clock::Make()),
        incarnation_(static_cast<std::uint64_t>(
            clock_->WallNow().time_since_epoch().count())),
        poller_(Poller::Make()),
        timers_(TimerService::Make()),
        admin_(AdminServer::Make(options.listen_admin, metrics, this)),
        watch_(TargetWatch::Make(options_, clock_.get(), timers_.get(), this)),
        link_(ControlLink::Make(options.control, clock_.get(), poller_.get(),
                                timers_.get(), this)) {
    poller_->Add(inbox_->PollFd(), EPOLLIN,
                 [this](std::uint32_t) { HandleMessages(); });
    poller_->Add(admin_->PollFd(), EPOLLIN,
                 [this](std::uint32_t) { admin_->Run(); });
    poller_->Add(watch_->PollFd(), EPOLLIN,
                 [this](std::uint32_t) { watch_->Run(); });
    const Time now = clock_->Now();
    tick_ = timers_->Every(now, kTickPeriod, [this](Time t) { Tick(t); });
    report_ = timers_->Every(now, kReportPeriod, [this](Time) {
      SetGauges();
      Report();
    });
  }

  Address AdminListening() const override { return admin_->Listening(); }
  int Open() const override { return open_; }
  bool Draining() const override { return draining_; }

  void RunOnce(Duration max_wait) override {
    Duration wait = std::min(max_wait, watch_->NextRun());
    if (const std::optional<Time> due = timers_->NextDue()) {
      wait = std::min(wait, *due - clock_->Now());
    }
    poller_->Wait(wait);
    if (watch_->NextRun() == Duration(0)) {
      watch_->Run();
    }
    timers_->RunDue(clock_->Now());
    Flush();
    open_ = scheduler_->Open();
  }

  void OnLinkUp() override {
    Report();
    for (const ReleaseMessage& release : std::exchange(unsent_releases_, {})) {
      SendRelease(release);
    }
  }

  void OnLinkMessage(const LinkMessage& message) override {
    if (const ViewMessage* view = std::get_if<ViewMessage>(&message)) {
      ApplyView(*view);
    } else if (const DecisionMessage* decided =
                   std::get_if<DecisionMessage>(&message)) {
      HandleDecision(decided->decision.id, decided->decision.result);
    } else {
      metrics_->Count("link_messages_refused_total", "cause", "unexpected");
    }
  }

  // Pending decisions may be lost with the link. Their requests are not run
  // here, whatever the log decides.
  void OnLinkDown() override {
    const std::map<RequestId, Time> lost = std::exchange(proposals_, {});
    for (const auto& [id, sent] : lost) {
      Execute(scheduler_->OnEvent(IntentDecided{id, IntentResult::kUnavailable},
                                  clock_->Now()));
    }
  }

  void OnLoadReport(const LoadReport& report) override {
    scheduler_->OnLoadReport(report, clock_->Now());
  }

  void OnCacheEvents(const TargetName& target,
                     const std::vector<CacheEvent>& events) override {
    scheduler_->OnCacheEvents(target, events, clock_->Now());
  }

  bool Ready() const override { return view_ != nullptr && !draining_; }

  std::string Explain(const RequestId& id) const override {
    return scheduler_->Explain(id);
  }

 private:
  void HandleMessages() {
    for (const ControlMessage& message : inbox_->Take()) {
      std::visit([this](const auto& m) { Handle(m); }, message);
    }
  }

  void Handle(const SubmitMessage& message) {
    RequestSpec request = message.request;
    ReadBody(message.body, &request);
    request_metrics_.OnSubmit(request, TierOf(request));
    Execute(scheduler_->Submit(request, clock_->Now()));
  }

  void Handle(const RequestEvent& event) {
    const Time now = clock_->Now();
    request_metrics_.OnEvent(event, now);
    if (const AnswerDone* done = std::get_if<AnswerDone>(&event)) {
      idempotency_keys_.erase(done->id);
    }
    Execute(scheduler_->OnEvent(event, now));
  }

  void Handle(const CountsMessage& message) {
    for (std::size_t i = 0; i < kTrafficEventCount; ++i) {
      const TrafficEvent event = static_cast<TrafficEvent>(i);
      const std::uint64_t n = message.counts.Get(event);
      if (n > 0) {
        metrics_->Add("traffic_events_total", "event", TrafficEventName(event),
                      static_cast<double>(n));
      }
    }
    for (int i = 0; i < kReasonCount; ++i) {
      const Reason reason = static_cast<Reason>(i);
      const std::uint64_t n = message.counts.Refusals(reason);
      if (n > 0) {
        metrics_->Add("refusals_total", "reason", ReasonName(reason),
                      static_cast<double>(n));
      }
    }
  }

  void Handle(const DrainMessage&) {
    scheduler_->Drain();
    draining_ = true;
    log_.Info("Draining. open={}", scheduler_->Open());
    SendEntryList();
    Report();
  }

  void ApplyView(const ViewMessage& message) {
    if (message.view.config == nullptr) {
      return;
    }
    view_ = std::make_shared<const ClusterView>(message.view);
    entries_ = message.entries;
    watch_->SetTargets(*view_->config);
    Execute(scheduler_->SetView(view_, clock_->Now()));
    SendEntryList();
  }

  void SendEntryList() {
    EntryListMessage list;
    list.draining = draining_;
    for (const EntryAddress& entry : entries_) {
      if (!draining_ || entry.name != options_.name) {
        list.entries.push_back(entry);
      }
    }
    traffic_->Send(list);
  }

  std::string TierOf(const RequestSpec& request) const {
    if (view_ == nullptr) {
      return "";
    }
    const Resource* resource =
        view_->config->Find("Workspace", request.workspace);
    return resource == nullptr ? ""
                               : std::get<WorkspaceSpec>(resource->spec).tier;
  }

  void Execute(const Actions& actions) {
    for (const Action& action : actions) {
      request_metrics_.OnAction(action);
      if (const RecordIntentAction* intent =
              std::get_if<RecordIntentAction>(&action)) {
        Propose(*intent);
      } else {
        if (const RefuseAction* refusal = std::get_if<RefuseAction>(&action)) {
          ReleaseKeyIfNotRun(*refusal);
        }
        unsent_actions_.push_back(action);
      }
    }
  }

  // Releases the idempotency key of a request that was not run, so that a retry
  // by the caller can run.
  void ReleaseKeyIfNotRun(const RefuseAction& refusal) {
    const std::map<RequestId, std::string>::iterator it =
        idempotency_keys_.find(refusal.id);
    if (it == idempotency_keys_.end()) {
      return;
    }
    if (refusal.outcome == Outcome::kNotRun &&
        refusal.reason != Reason::kDuplicate) {
      SendRelease(ReleaseMessage{it->first, it->second});
    }
    idempotency_keys_.erase(it);
  }

  void Propose(const RecordIntentAction& intent) {
    proposals_[intent.id] = clock_->Now();
    idempotency_keys_[intent.id] = intent.key;
    if (!link_->Send(ProposeMessage{intent.id, intent.key})) {
      HandleDecision(intent.id, IntentResult::kUnavailable);
    }
  }

  // Ignores a decision that arrives after its proposal has timed out.
  void HandleDecision(const RequestId& id, IntentResult result) {
    if (proposals_.erase(id) > 0) {
      Execute(scheduler_->OnEvent(IntentDecided{id, result}, clock_->Now()));
    }
  }

  void SendRelease(const ReleaseMessage& release) {
    if (!link_->Send(release) && unsent_releases_.size() < kMaxUnsentReleases) {
      unsent_releases_.push_back(release);
    }
  }

  void Flush() {
    if (!unsent_actions_.empty()) {
      traffic_->Send(std::exchange(unsent_actions_, Actions()));
    }
  }

  void Tick(Time now) {
    std::vector<RequestId> timed_out;
    for (const auto& [id, sent] : proposals_) {
      if (now - sent > options_.propose_timeout) {
        timed_out.push_back(id);
      }
    }
    for (const RequestId& id : timed_out) {
      HandleDecision(id, IntentResult::kUnavailable);
    }
    Execute(scheduler_->Tick(now));
    const SchedulerFacts facts = scheduler_->Facts(now);
    if (facts.closed_rank != reported_closed_rank_ ||
        facts.losses.sequence != reported_losses_) {
      Report();
    }
  }

  void Report() {
    const Time now = clock_->Now();
    ReportMessage report;
    report.entry = options_.name;
    report.incarnation = incarnation_;
    report.facts = scheduler_->Facts(now);
    report.evidence = scheduler_->Evidence();
    report.open = scheduler_->Open();
    report.draining = draining_;
    reported_closed_rank_ = report.facts.closed_rank;
    reported_losses_ = report.facts.losses.sequence;
    link_->Send(report);
  }

  void SetGauges() {
    const SchedulerFacts facts = scheduler_->Facts(clock_->Now());
    metrics_->Set("requests", "state", "queued", facts.queued);
    metrics_->Set("requests", "state", "in_flight", facts.in_flight);
    metrics_->Set("standing", "state", "ready", Ready() ? 1 : 0);
    metrics_->Set("standing", "state", "draining", draining_ ? 1 : 0);
    metrics_->Set("standing", "state", "control_link",
                  link_->Connected() ? 1 : 0);
    metrics_->Set("link", "cause", "malformed",
                  static_cast<double>(link_->Malformed()));
    metrics_->Set("target_reads", "state", "failed",
                  static_cast<double>(watch_->Failures()));
  }

  EntryOptions options_;
  std::unique_ptr<Scheduler> scheduler_;
  Metrics* metrics_;
  RequestMetrics request_metrics_;
  Mailbox<ControlMessage>* inbox_;
  Mailbox<TrafficMessage>* traffic_;
  Logger log_{"control"};
  std::unique_ptr<Clock> clock_;
  std::uint64_t incarnation_;
  std::unique_ptr<Poller> poller_;
  std::unique_ptr<TimerService> timers_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<TargetWatch> watch_;
  std::unique_ptr<ControlLink> link_;
  std::unique_ptr<TimerService::Subscription> tick_;
  std::unique_ptr<TimerService::Subscription> report_;
  std::shared_ptr<const ClusterView> view_;
  std::vector<EntryAddress> entries_;
  std::map<RequestId, Time> proposals_;  // send time of undecided proposals
  std::vector<ReleaseMessage> unsent_releases_;
  // Keys of the requests that have a proposed intent.
  std::map<RequestId, std::string> idempotency_keys_;
  std::map<std::string, int> reported_closed_rank_;
  std::uint64_t reported_losses_ = 0;  ///< sequence number
  Actions unsent_actions_;
  std::atomic<int> open_{0};
  std::atomic<bool> draining_{false};
};

}  // namespace

std::unique_ptr<ControlLoop> ControlLoop::Make(
    const EntryOptions& options, std::unique_ptr<Scheduler> scheduler,
    Metrics* metrics, Mailbox<ControlMessage>* inbox,
    Mailbox<TrafficMessage>* traffic) {
  return std::make_unique<SchedulerLoop>(options, std::move(scheduler), metrics,
                                         inbox, traffic);
}

}  // namespace hornbeamcleat
