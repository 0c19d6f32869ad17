#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_ADMISSION_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_ADMISSION_H_

#include <optional>

#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/length_predictor.h"
#include "src/schedule/model_state.h"
#include "src/schedule/request_state.h"

namespace hornbeamcleat {

/// Predicts whether a request can meet its deadline, from the work queued ahead
/// of it, the demand of higher tiers, the expected answer length and the
/// measured speed of the targets.
class Admission {
 public:
  explicit Admission(const SchedulerOptions& options) : options_(options) {}

  /// Computes the request's expected length, cost, latest start and
  /// feasibility.
  void Predict(RequestState* request, Time now) const;

  /// Predicts the time, in seconds, until a new request of this kind is
  /// dispatched.
  double PredictWait(const RequestState& request, Time now) const;

  /// Whether the wait uses so much of the request's slack that greater ranks
  /// must close.
  bool IsShortOfCapacity(const RequestState& request, double wait,
                         Time now) const;

  /// Returns the reason to refuse the request on arrival; nothing if it may be
  /// queued.
  std::optional<Reason> RefusalReason(const RequestState& request, double wait,
                                      Time now) const;

  /// Returns when to report a shortage for a request that still waits: early
  /// enough for greater ranks to close before its latest start.
  Time ShortageCheckTime(const RequestState& request, Time now) const;

  LengthPredictor& Lengths() { return lengths_; }

 private:
  // Makes the latest start earlier, so that an answer far longer than the
  // median does not end after its deadline and waste its prefill.
  void ReserveForLongAnswer(RequestState* request, Time now) const;

  double Slack(const RequestState& request, Time now) const;

  const SchedulerOptions options_;
  LengthPredictor lengths_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_ADMISSION_H_
