#ifndef HORNBEAMCLEAT_SRC_ENTRY_REQUEST_METRICS_H_
#define HORNBEAMCLEAT_SRC_ENTRY_REQUEST_METRICS_H_

#include <string>
#include <unordered_map>

#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/action.h"
#include "hornbeamcleat/schedule/event.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Counts refusals, retries and resumes by reason and measures the time to the
/// first part by tier, from the events and actions of a scheduler.
class RequestMetrics {
 public:
  /// @param metrics must outlive this object
  explicit RequestMetrics(Metrics* metrics) : metrics_(metrics) {}

  /// @param tier name of the tier, or empty if it is not known
  void OnSubmit(const RequestSpec& request, const std::string& tier);
  void OnEvent(const RequestEvent& event, Time now);
  void OnAction(const Action& action);

 private:
  struct OpenRequest {
    Time arrival;
    std::string tier;
    bool first_part_seen = false;
    const char* last_failure = "none";  ///< reason of the next retry or resume
    bool dispatched = false;
  };

  void Handle(const IntentDecided&, Time) {}
  void Handle(const TargetNotRun& event, Time now);
  void Handle(const RequestSent&, Time) {}
  void Handle(const PartsReceived& event, Time now);
  void Handle(const AnswerDone& event, Time now);
  void Handle(const TargetFailed&, Time) {}
  void Handle(const ConnectionLost& event, Time now);
  void Handle(const Resumed&, Time) {}
  void Handle(const ResumeFailed& event, Time now);
  void Handle(const CallerGone& event, Time now);

  void SetLastFailure(const RequestId& id, const char* reason);
  void RecordFirstPart(const RequestId& id, Time now);

  Metrics* metrics_;
  std::unordered_map<RequestId, OpenRequest> open_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_REQUEST_METRICS_H_
