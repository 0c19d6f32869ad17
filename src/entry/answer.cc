#include "src/entry/answer.h"

#include <algorithm>
#include <utility>

#include "hornbeamcleat/base/log.h"
#include "src/entry/problem.h"
#include "src/entry/stream_head.h"
#include "src/entry/target_calls.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kReportPeriod = std::chrono::milliseconds(100);
constexpr int kMaxConsecutiveResumes = 3;
const Logger& Log() {
  static const Logger log("answer");
  return log;
}

}  // namespace

Answer::Answer(AnswerContext* context, RequestId id, CallerRequest request)
    : context_(context),
      id_(std::move(id)),
      request_(std::move(request)),
      scheduled_(true),
      last_progress_(context->clock->Now()) {}

Answer::Answer(AnswerContext* context, const ResumeHandle& handle,
               CallerRequest request, std::uint64_t last)
    : context_(context),
      id_(handle.id),
      request_(std::move(request)),
      scheduled_(false),
      address_(handle.address),
      version_(handle.version),
      last_progress_(context->clock->Now()) {
  sequence_.Reset(last);
  Resume(address_);
}

Answer::~Answer() { CloseExchanges(); }

void Answer::Dispatch(const DispatchAction& action) {
  address_ = action.address;
  version_ = action.version;
  TargetRequest run = MakeRunCall(*context_, request_, action);
  run.handle = AddExchange(TargetExchange::Kind::kRun)->Handle();
  Log().Debug("Dispatched request. request={} target={}", id_, action.target);
  context_->client->Begin(run);
}

void Answer::Resume(const std::string& address) {
  if (caller_disconnected_) {
    return;
  }
  resume_started_ = context_->clock->Now();
  address_ = address;
  TargetRequest request =
      MakeResumeCall(*context_, id_, address, sequence_.Last());
  request.handle = AddExchange(TargetExchange::Kind::kResume)->Handle();
  Log().Debug("Resuming answer. request={} after={}", id_, sequence_.Last());
  context_->client->Begin(request);
}

void Answer::Refuse(const RefuseAction& refusal) {
  if (finished_) {
    return;
  }
  CloseExchanges();
  if (!scheduled_) {
    context_->counts.AddRefusal(refusal.reason);
  }
  const std::vector<EntryAddress> none;
  const std::vector<EntryAddress>& entries =
      refusal.reason == Reason::kDraining ? context_->entry_list.entries : none;
  if (head_sent_) {
    StreamEvent event;
    event.name = "error";
    event.data = FormatProblem(refusal, entries);
    context_->front->Write(CallerHandle(), FormatEvent(event));
    context_->front->End(CallerHandle());
  } else {
    context_->front->Answer(CallerHandle(),
                            MakeProblemAnswer(refusal, entries));
  }
  Log().Debug("Refused request. request={} outcome={} reason={}", id_,
              OutcomeName(refusal.outcome), ReasonName(refusal.reason));
  finished_ = true;
}

void Answer::OnCallerDisconnected() {
  if (finished_ || caller_disconnected_) {
    return;
  }
  context_->counts.Add(TrafficEvent::kGoneCallers);
  if (!head_sent_) {
    Cancel();
    return;
  }
  // The target buffers the parts until the caller resumes.
  CloseExchanges();
  context_->front->Abandon(CallerHandle());
  caller_disconnected_ = true;
  disconnected_at_ = context_->clock->Now();
}

void Answer::Cancel() {
  if (finished_) {
    return;
  }
  CloseExchanges();
  if (scheduled_) {
    Notify(CallerGone{id_});
  } else {
    SendCancel(context_, id_, address_);
  }
  context_->front->Abandon(CallerHandle());
  finished_ = true;
}

void Answer::HandOver() {
  CloseExchanges();
  Notify(CallerGone{id_});
  context_->front->Abandon(CallerHandle());
  finished_ = true;
}

void Answer::Reattach(CallerRequest request, std::uint64_t last) {
  CloseExchanges();
  context_->front->Abandon(CallerHandle());
  request_ = std::move(request);
  head_sent_ = false;
  caller_disconnected_ = false;
  suppress_resumed_event_ = true;
  sequence_.Reset(last);
  Resume(address_);
}

void Answer::Tick(Time now) {
  if (finished_) {
    return;
  }
  if (caller_disconnected_) {
    if (now - disconnected_at_ >= context_->options->caller_grace) {
      Cancel();
    }
    return;
  }
  TickResume(now);
  if (!scheduled_ &&
      now - last_progress_ > context_->options->scheduler.stall_time) {
    last_progress_ = now;
    RetryResume();
  }
}

// Closes a resume that has not begun to stream within `stall_time` and reports
// it as failed, so that the scheduler learns of the unresponsive target before
// the request's deadline.
void Answer::TickResume(Time now) {
  if (now - resume_started_ <= context_->options->scheduler.stall_time) {
    return;
  }
  for (const std::unique_ptr<TargetExchange>& exchange : exchanges_) {
    if (!exchange->Closed() && !exchange->Streaming() &&
        exchange->GetKind() == TargetExchange::Kind::kResume) {
      CloseExchange(exchange.get());
      Notify(ResumeFailed{id_, false});
      return;
    }
  }
}

TargetExchange* Answer::Find(std::uint64_t handle) {
  for (const std::unique_ptr<TargetExchange>& exchange : exchanges_) {
    if (exchange->Handle() == handle) {
      return exchange.get();
    }
  }
  return nullptr;
}

void Answer::RemoveClosedExchanges() {
  std::erase_if(exchanges_, [](const std::unique_ptr<TargetExchange>& x) {
    return x->Closed();
  });
}

TargetExchange* Answer::AddExchange(TargetExchange::Kind kind) {
  const std::uint64_t handle = ++context_->last_exchange_handle;
  TargetExchangeLimits limits;
  limits.max_part = context_->options->max_part;
  limits.max_answer = context_->options->max_answer;
  exchanges_.push_back(
      std::make_unique<TargetExchange>(kind, handle, id_, limits, this));
  context_->answer_by_exchange[handle] = this;
  return exchanges_.back().get();
}

void Answer::CloseExchange(TargetExchange* exchange) {
  if (!exchange->Closed()) {
    exchange->Close();
    context_->answer_by_exchange.erase(exchange->Handle());
    context_->client->Abort(exchange->Handle());
  }
}

void Answer::CloseOthers(const TargetExchange* kept) {
  for (const std::unique_ptr<TargetExchange>& exchange : exchanges_) {
    if (exchange.get() != kept) {
      CloseExchange(exchange.get());
    }
  }
}

void Answer::CloseExchanges() { CloseOthers(nullptr); }

bool Answer::HasResume() const {
  return std::any_of(exchanges_.begin(), exchanges_.end(),
                     [](const std::unique_ptr<TargetExchange>& x) {
                       return !x->Closed() &&
                              x->GetKind() == TargetExchange::Kind::kResume;
                     });
}

void Answer::OnSent(TargetExchange* exchange) {
  if (exchange->GetKind() == TargetExchange::Kind::kRun) {
    Notify(RequestSent{id_});
  }
}

void Answer::OnStream(TargetExchange* exchange) {
  CloseOthers(exchange);
  if (exchange->GetKind() == TargetExchange::Kind::kResume &&
      !std::exchange(suppress_resumed_event_, false)) {
    Notify(Resumed{id_});
  }
  if (!head_sent_) {
    BeginAnswer();
  }
}

void Answer::BeginAnswer() {
  const CallerAnswer head = MakeStreamHead(*context_, id_, address_, version_);
  context_->front->Begin(CallerHandle(), head);
  head_sent_ = true;
  // The target has received the request, so the body is never sent again.
  request_.body = std::string();
}

void Answer::OnPart(TargetExchange* exchange, const StreamEvent& part) {
  switch (sequence_.Accept(part.id)) {
    case PartPosition::kDuplicate:
      context_->counts.Add(TrafficEvent::kDuplicateParts);
      return;
    case PartPosition::kGap:
      context_->counts.Add(TrafficEvent::kPartGaps);
      HandleConnectionLoss(exchange);
      return;
    case PartPosition::kNext:
      break;
  }
  StreamEvent event;
  event.name = part.name == "end" || part.name == "error" ? "" : part.name;
  event.id = sequence_.Last();
  event.data = part.data;
  last_data_ = part.data;
  context_->counts.Add(TrafficEvent::kParts);
  if (!context_->front->Write(CallerHandle(), FormatEvent(event))) {
    context_->counts.Add(TrafficEvent::kSlowCallers);
    OnCallerDisconnected();
    return;
  }
  ReportProgress();
}

void Answer::ReportProgress() {
  const Time now = context_->clock->Now();
  consecutive_resumes_ = 0;
  last_progress_ = now;
  if (last_report_ == Time() || now - last_report_ >= kReportPeriod) {
    last_report_ = now;
    Notify(PartsReceived{id_, static_cast<std::uint32_t>(sequence_.Last())});
  }
}

void Answer::OnStreamDone(TargetExchange* exchange, const StreamEvent& last) {
  if (last.id && *last.id > sequence_.Last() + 1) {
    context_->counts.Add(TrafficEvent::kPartGaps);
    HandleConnectionLoss(exchange);
    return;
  }
  StreamEvent event;
  event.name = "end";
  event.data = "{\"parts\":" + std::to_string(sequence_.Last()) + "}";
  context_->front->Write(CallerHandle(), FormatEvent(event));
  context_->front->End(CallerHandle());
  CloseExchanges();
  Notify(AnswerDone{id_, static_cast<std::uint32_t>(sequence_.Last()),
                    CachedTokens(last_data_)});
  finished_ = true;
}

void Answer::OnPlainAnswer(TargetExchange* exchange,
                           const CallerAnswer& answer) {
  if (head_sent_) {
    HandleConnectionLoss(exchange);
    return;
  }
  CallerAnswer passed = answer;
  passed.headers["Request-Id"] = id_;
  passed.headers["Target-Version"] = version_;
  context_->front->Answer(CallerHandle(), passed);
  CloseExchanges();
  Notify(AnswerDone{id_, 1, 0});
  finished_ = true;
}

void Answer::OnNotRun(TargetExchange* exchange, bool reported_by_target,
                      Duration retry_after) {
  CloseExchange(exchange);
  Notify(TargetNotRun{id_, reported_by_target, retry_after});
}

void Answer::OnFailed(TargetExchange* exchange) {
  CloseExchange(exchange);
  Notify(TargetFailed{id_});
}

void Answer::OnResumeRefused(TargetExchange* exchange) {
  CloseExchange(exchange);
  Notify(ResumeFailed{id_, true});
}

void Answer::OnIncomplete(TargetExchange* exchange) {
  if (exchange->GetKind() == TargetExchange::Kind::kResume &&
      !exchange->Streaming()) {
    CloseExchange(exchange);
    Notify(ResumeFailed{id_, false});
    return;
  }
  if (exchange->Streaming()) {
    context_->counts.Add(TrafficEvent::kTruncatedStreams);
  }
  HandleConnectionLoss(exchange);
}

void Answer::OnRequestIdMismatch(TargetExchange* exchange) {
  context_->counts.Add(TrafficEvent::kCrossedAnswers);
  HandleConnectionLoss(exchange);
}

void Answer::HandleConnectionLoss(TargetExchange* exchange) {
  CloseExchange(exchange);
  // An open resume already replaces the lost connection.
  if (!HasResume()) {
    Notify(ConnectionLost{id_});
  }
}

void Answer::Notify(const RequestEvent& event) {
  if (finished_) {
    return;
  }
  if (scheduled_) {
    context_->control->Send(event);
    return;
  }
  const ResumeFailed* failed = std::get_if<ResumeFailed>(&event);
  if (failed != nullptr && failed->target_alive) {
    Refuse({id_, Outcome::kUnknown, Reason::kTargetLost, Duration(0)});
  } else if (failed != nullptr ||
             std::holds_alternative<ConnectionLost>(event)) {
    RetryResume();
  } else if (std::holds_alternative<TargetFailed>(event)) {
    Refuse({id_, Outcome::kFailed, Reason::kTargetFailed, Duration(0)});
  }
}

void Answer::RetryResume() {
  if (++consecutive_resumes_ > kMaxConsecutiveResumes) {
    Refuse({id_, Outcome::kUnknown, Reason::kTargetLost, Duration(0)});
  } else {
    Resume(address_);
  }
}

}  // namespace hornbeamcleat
