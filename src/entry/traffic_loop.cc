#include "src/entry/traffic_loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "src/entry/address_ranking.h"
#include "src/entry/answer.h"
#include "src/entry/answer_call.h"
#include "src/entry/problem.h"
#include "src/entry/resume_handle.h"
#include "src/entry/submission.h"
#include "src/entry/target_calls.h"
#include "src/net/poller.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
constexpr int kStatusAccepted = 202;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr char kAddressesPath[] = "/v1/addresses";
constexpr char kAnswersPrefix[] = "/v1/answers/";
constexpr char kSubmitPrefix[] = "/v1/";

RefuseAction BadRequest(const RequestId& id) {
  return {id, Outcome::kNotRun, Reason::kBadRequest, Duration(0)};
}

class EpollTrafficLoop : public TrafficLoop,
                         public CallerHandler,
                         public TargetHandler {
 public:
  EpollTrafficLoop(const EntryOptions& options,
                   Mailbox<ControlMessage>* control,
                   Mailbox<TrafficMessage>* inbox)
      : options_(options),
        inbox_(inbox),
        clock_(Clock::Make()),
        poller_(Poller::Make()),
        client_(TargetClient::Make(this)),
        front_(CallerFront::Make(options.listen, options.max_body,
                                 options.max_open, options.max_buffered,
                                 this)) {
    context_.options = &options_;
    context_.clock = clock_.get();
    context_.front = front_.get();
    context_.client = client_.get();
    context_.control = control;
    poller_->Add(inbox_->PollFd(), EPOLLIN,
                 [this](std::uint32_t) { HandleMessages(); });
    poller_->Add(client_->PollFd(), EPOLLIN,
                 [this](std::uint32_t) { client_->Run(); });
    poller_->Add(front_->PollFd(), EPOLLIN,
                 [this](std::uint32_t) { front_->Run(); });
  }

  Address Listening() const override { return front_->Listening(); }
  std::size_t Open() const override { return open_; }

  void RunOnce(Duration max_wait) override {
    poller_->Wait(std::min({max_wait, kTickPeriod, client_->NextRun()}));
    if (client_->NextRun() == Duration(0)) {
      client_->Run();
    }
    const Time now = clock_->Now();
    if (now >= next_tick_) {
      next_tick_ = now + kTickPeriod;
      Tick(now);
    }
    RemoveFinished();
    open_ = front_->Open();
  }

  void OnRequest(CallerRequest request) override {
    if (request.method == "GET" && request.path == kAddressesPath) {
      OnAddresses(request);
    } else if (request.path.starts_with(kAnswersPrefix)) {
      OnAnswerRequest(std::move(request));
    } else if (request.method == "POST" &&
               request.path.starts_with(kSubmitPrefix)) {
      OnSubmit(std::move(request));
    } else {
      Refuse(request.handle, BadRequest(""), kStatusNotFound);
    }
  }

  void OnClosed(std::uint64_t handle, bool sent_whole) override {
    const auto it = by_caller_.find(handle);
    if (it == by_caller_.end()) {
      return;
    }
    Answer* answer = it->second;
    by_caller_.erase(it);
    if (!sent_whole) {
      answer->OnCallerDisconnected();
      QueueRemovalCheck(answer);
    }
  }

  void OnSending(std::uint64_t handle) override {
    WithExchange(handle, [](TargetExchange* x) { x->OnSending(); });
  }

  void OnHead(std::uint64_t handle, int status,
              const std::map<std::string, std::string>& headers) override {
    WithExchange(handle,
                 [&](TargetExchange* x) { x->OnHead(status, headers); });
  }

  void OnBody(std::uint64_t handle, std::string_view bytes) override {
    WithExchange(handle, [&](TargetExchange* x) { x->OnBody(bytes); });
  }

  void OnEnd(std::uint64_t handle, TargetEnd end,
             const std::string& cause) override {
    log_.Debug("Exchange with a target ended. cause=\"{}\"", cause);
    WithExchange(handle, [&](TargetExchange* x) { x->OnEnd(end); });
  }

 private:
  // A caller that does not state its failure domain is assumed to be in that of
  // this entry.
  void OnAddresses(const CallerRequest& request) {
    const std::map<std::string, std::string>::const_iterator it =
        request.query.find("failureDomain");
    const std::string& domain =
        it == request.query.end() ? options_.failure_domain : it->second;
    CallerAnswer answer;
    answer.body = FormatAddresses(
        RankEntries(context_.entry_list.entries, domain, &random_),
        options_.addresses_life);
    front_->Answer(request.handle, answer);
  }

  template <typename Work>
  void WithExchange(std::uint64_t handle, const Work& work) {
    const auto it = context_.answer_by_exchange.find(handle);
    if (it == context_.answer_by_exchange.end()) {
      return;
    }
    Answer* answer = it->second;
    work(answer->Find(handle));
    if (answer->Finished()) {
      QueueRemovalCheck(answer);
    } else {
      answer->RemoveClosedExchanges();
    }
  }

  void OnSubmit(CallerRequest request) {
    RequestSpec spec;
    try {
      spec = ReadSubmission(request, ids_.Next(), clock_->Now());
    } catch (const Error& e) {
      context_.counts.Add(TrafficEvent::kBadRequests);
      log_.Debug("Refused a malformed request. cause=\"{}\"", e.what());
      Refuse(request.handle, BadRequest(""));
      return;
    }
    // The open request with this id may have run already.
    if (answers_.contains(spec.id)) {
      context_.counts.Add(TrafficEvent::kBadRequests);
      Refuse(request.handle,
             {spec.id, Outcome::kUnknown, Reason::kDuplicate, Duration(0)});
      return;
    }
    SubmitMessage message{spec, request.body};
    Add(std::make_unique<Answer>(&context_, spec.id, std::move(request)));
    context_.control->Send(std::move(message));
  }

  void OnAnswerRequest(CallerRequest request) {
    const std::string id =
        request.path.substr(std::string_view(kAnswersPrefix).size());
    AnswerCall call;
    try {
      call = ReadAnswerCall(request, id, options_.handle_key, clock_->WallNow(),
                            options_.handle_life);
    } catch (const Error& e) {
      context_.counts.Add(TrafficEvent::kBadHandles);
      log_.Debug("Refused a resume handle. cause=\"{}\"", e.what());
      // The original request may have run; only this call had no effect.
      Refuse(request.handle,
             {id, Outcome::kUnknown, Reason::kBadRequest, Duration(0)},
             kStatusBadRequest);
      return;
    }
    if (request.method == "PUT") {
      HandOver(id, request.handle);
    } else if (request.method == "GET") {
      ResumeAnswer(call.handle, std::move(request), call.last);
    } else if (request.method == "DELETE") {
      CancelAnswer(call.handle, request.handle);
    } else {
      Refuse(request.handle, BadRequest(id));
    }
  }

  void ResumeAnswer(const ResumeHandle& handle, CallerRequest request,
                    std::uint64_t last) {
    context_.counts.Add(TrafficEvent::kCallerResumes);
    const auto it = answers_.find(handle.id);
    if (it != answers_.end() && !it->second->Finished()) {
      Answer* answer = it->second.get();
      by_caller_.erase(answer->CallerHandle());
      by_caller_[request.handle] = answer;
      answer->Reattach(std::move(request), last);
      return;
    }
    answers_.erase(handle.id);
    if (!handle.entry.empty()) {
      context_.client->Begin(MakeHandOverCall(
          &context_, handle, request.headers["resume-handle"]));
    }
    Add(std::make_unique<Answer>(&context_, handle, std::move(request), last));
  }

  // Another entry has resumed the answer, so the target must not be told to
  // cancel the work.
  void HandOver(const RequestId& id, std::uint64_t caller) {
    const auto it = answers_.find(id);
    if (it != answers_.end() && !it->second->Finished()) {
      if (it->second->Scheduled()) {
        handed_over_.insert(id);
      }
      it->second->HandOver();
      QueueRemovalCheck(it->second.get());
    }
    CallerAnswer answer;
    answer.status = kStatusAccepted;
    answer.body = "{}";
    front_->Answer(caller, answer);
  }

  void CancelAnswer(const ResumeHandle& handle, std::uint64_t caller) {
    const auto it = answers_.find(handle.id);
    if (it != answers_.end()) {
      it->second->Cancel();
      QueueRemovalCheck(it->second.get());
    } else {
      SendCancel(&context_, handle.id, handle.address);
    }
    CallerAnswer answer;
    answer.status = kStatusAccepted;
    answer.body = "{\"cancelled\":true}";
    front_->Answer(caller, answer);
  }

  void Add(std::unique_ptr<Answer> answer) {
    by_caller_[answer->CallerHandle()] = answer.get();
    const RequestId id = answer->Id();
    answers_[id] = std::move(answer);
  }

  void Refuse(std::uint64_t caller, const RefuseAction& refusal,
              int status = 0) {
    context_.counts.AddRefusal(refusal.reason);
    CallerAnswer answer =
        MakeProblemAnswer(refusal, std::vector<EntryAddress>());
    if (status != 0) {
      answer.status = status;
    }
    front_->Answer(caller, answer);
  }

  void HandleMessages() {
    for (const TrafficMessage& message : inbox_->Take()) {
      if (const Actions* actions = std::get_if<Actions>(&message)) {
        for (const Action& action : *actions) {
          std::visit([this](const auto& a) { Execute(a); }, action);
        }
      } else {
        context_.entry_list = std::get<EntryListMessage>(message);
      }
    }
  }

  // Intents are handled by the control thread.
  void Execute(const RecordIntentAction&) {}

  void Execute(const DispatchAction& action) {
    if (Answer* answer = Find(action.id)) {
      answer->Dispatch(action);
      return;
    }
    // The caller disconnected before the dispatch, and no byte was sent.
    context_.control->Send(RequestEvent(TargetNotRun{action.id}));
  }

  void Execute(const ResumeAction& action) {
    if (Answer* answer = Find(action.id)) {
      answer->Resume(action.address);
    }
  }

  void Execute(const CancelAction& action) {
    if (handed_over_.erase(action.id) > 0) {
      return;
    }
    if (Answer* answer = Find(action.id)) {
      answer->CloseExchanges();
    }
    SendCancel(&context_, action.id, action.address);
  }

  void Execute(const RefuseAction& action) {
    handed_over_.erase(action.id);
    if (Answer* answer = Find(action.id)) {
      answer->Refuse(action);
      QueueRemovalCheck(answer);
    }
  }

  Answer* Find(const RequestId& id) {
    const auto it = answers_.find(id);
    return it == answers_.end() || it->second->Finished() ? nullptr
                                                          : it->second.get();
  }

  // Queues an answer that may have finished for removal at the end of the
  // iteration, when none of its callbacks is running.
  void QueueRemovalCheck(const Answer* answer) {
    removal_checks_.push_back(answer->Id());
  }

  void RemoveFinished() {
    for (const RequestId& id : std::exchange(removal_checks_, {})) {
      const auto it = answers_.find(id);
      if (it != answers_.end() && it->second->Finished()) {
        by_caller_.erase(it->second->CallerHandle());
        answers_.erase(it);
      }
    }
  }

  void Tick(Time now) {
    for (const auto& [id, answer] : answers_) {
      answer->Tick(now);
      if (answer->Finished()) {
        QueueRemovalCheck(answer.get());
      } else {
        answer->RemoveClosedExchanges();
      }
    }
    CountFrontRefusals();
    if (context_.counts != TrafficCounts()) {
      context_.control->Send(CountsMessage{context_.counts});
      context_.counts = TrafficCounts();
    }
  }

  void CountFrontRefusals() {
    const FrontRefusals now = front_->Refusals();
    context_.counts.Add(TrafficEvent::kMalformedInput,
                        now.malformed - reported_refusals_.malformed);
    context_.counts.Add(TrafficEvent::kOversizedInput,
                        now.too_large - reported_refusals_.too_large);
    context_.counts.Add(TrafficEvent::kTooManyOpen,
                        now.too_many - reported_refusals_.too_many);
    reported_refusals_ = now;
  }

  EntryOptions options_;
  Mailbox<TrafficMessage>* inbox_;
  Logger log_{"traffic"};
  RequestIdSource ids_;
  std::unique_ptr<Clock> clock_;
  std::unique_ptr<Poller> poller_;
  std::unique_ptr<TargetClient> client_;
  std::unique_ptr<CallerFront> front_;
  AnswerContext context_;
  std::unordered_map<RequestId, std::unique_ptr<Answer>> answers_;
  std::unordered_map<std::uint64_t, Answer*> by_caller_;
  std::vector<RequestId> removal_checks_;
  std::mt19937_64 random_{std::random_device()()};
  std::set<RequestId> handed_over_;  // to entries that resumed them
  FrontRefusals reported_refusals_;
  Time next_tick_;
  std::atomic<std::size_t> open_{0};
};

}  // namespace

std::unique_ptr<TrafficLoop> TrafficLoop::Make(const EntryOptions& options,
                                               Mailbox<ControlMessage>* control,
                                               Mailbox<TrafficMessage>* inbox) {
  return std::make_unique<EpollTrafficLoop>(options, control, inbox);
}

}  // namespace hornbeamcleat
