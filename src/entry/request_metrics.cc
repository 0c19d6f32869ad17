#include "src/entry/request_metrics.h"

#include <variant>

namespace hornbeamcleat {

void RequestMetrics::OnSubmit(const RequestSpec& request,
                              const std::string& tier) {
  OpenRequest open;
  open.arrival = request.arrival;
  open.tier = tier.empty() ? "unknown" : tier;
  metrics_->Count("requests_total", "tier", open.tier);
  open_[request.id] = open;
}

void RequestMetrics::OnEvent(const RequestEvent& event, Time now) {
  std::visit([&](const auto& e) { Handle(e, now); }, event);
}

void RequestMetrics::OnAction(const Action& action) {
  if (const RefuseAction* refusal = std::get_if<RefuseAction>(&action)) {
    metrics_->Count("refusals_total", "reason", ReasonName(refusal->reason));
    metrics_->Count("outcomes_total", "outcome", OutcomeName(refusal->outcome));
    open_.erase(refusal->id);
  } else if (const DispatchAction* dispatch =
                 std::get_if<DispatchAction>(&action)) {
    const auto it = open_.find(dispatch->id);
    if (it != open_.end()) {
      if (it->second.dispatched) {
        metrics_->Count("retries_total", "reason", it->second.last_failure);
      }
      it->second.dispatched = true;
    }
  } else if (const ResumeAction* resume = std::get_if<ResumeAction>(&action)) {
    const auto it = open_.find(resume->id);
    metrics_->Count("resumes_total", "reason",
                    it == open_.end() ? "none" : it->second.last_failure);
  }
}

void RequestMetrics::Handle(const TargetNotRun& event, Time) {
  SetLastFailure(event.id,
                 event.reported_by_target ? "target_refused" : "not_connected");
}

void RequestMetrics::Handle(const PartsReceived& event, Time now) {
  RecordFirstPart(event.id, now);
  SetLastFailure(event.id, "stalled");
}

void RequestMetrics::Handle(const AnswerDone& event, Time now) {
  RecordFirstPart(event.id, now);
  metrics_->Count("outcomes_total", "outcome", "whole");
  open_.erase(event.id);
}

void RequestMetrics::Handle(const ConnectionLost& event, Time) {
  SetLastFailure(event.id, "connection_lost");
}

void RequestMetrics::Handle(const ResumeFailed& event, Time) {
  SetLastFailure(event.id,
                 event.target_alive ? "resume_refused" : "resume_lost");
}

void RequestMetrics::Handle(const CallerGone& event, Time) {
  open_.erase(event.id);
}

void RequestMetrics::SetLastFailure(const RequestId& id, const char* reason) {
  const auto it = open_.find(id);
  if (it != open_.end()) {
    it->second.last_failure = reason;
  }
}

void RequestMetrics::RecordFirstPart(const RequestId& id, Time now) {
  const auto it = open_.find(id);
  if (it != open_.end() && !it->second.first_part_seen) {
    it->second.first_part_seen = true;
    metrics_->Observe("first_part_seconds", "tier", it->second.tier,
                      ToSeconds(now - it->second.arrival));
  }
}

}  // namespace hornbeamcleat
