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

/// Counts refusals, retries and resumes by reason and times the first parts by
/// tier. Follows what goes into a scheduler and what comes out of it.
class RequestMetrics {
 public:
  /// @param metrics must outlive this
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
    const char* trouble = "none";  ///< why a retry or resume would follow
    bool dispatched = false;
  };

  void Take(const IntentDecided&, Time) {}
  void Take(const TargetNotRun& event, Time now);
  void Take(const RequestSent&, Time) {}
  void Take(const PartsReceived& event, Time now);
  void Take(const AnswerDone& event, Time now);
  void Take(const TargetFailed&, Time) {}
  void Take(const ConnectionLost& event, Time now);
  void Take(const Resumed&, Time) {}
  void Take(const ResumeFailed& event, Time now);
  void Take(const CallerGone& event, Time now);

  void Note(const RequestId& id, const char* trouble);
  void SeeFirstPart(const RequestId& id, Time now);

  Metrics* metrics_;
  std::unordered_map<RequestId, OpenRequest> open_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_REQUEST_METRICS_H_
