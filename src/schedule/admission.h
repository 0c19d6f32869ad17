#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_ADMISSION_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_ADMISSION_H_

#include <optional>

#include "hornbeamcleat/schedule/scheduler.h"
#include "src/schedule/length_predictor.h"
#include "src/schedule/model_state.h"
#include "src/schedule/request_state.h"

namespace hornbeamcleat {

/// Predicts whether a request can meet its deadline, from work queued ahead of
/// it, demand of higher tiers, expected length and learned speed.
class Admission {
 public:
  explicit Admission(const SchedulerOptions& options) : options_(options) {}

  /// Fills in length, cost, latest start and whether there is any hope.
  void Predict(RequestState* request, Time now) const;

  /// Seconds until a new request of this kind would be dispatched.
  double Wait(const RequestState& request, Time now) const;

  /// Whether the wait takes so much of the time that greater ranks must close.
  bool RunsShort(const RequestState& request, double wait, Time now) const;

  /// Why the request is refused on arrival; nothing if it may wait.
  std::optional<Reason> Refusal(const RequestState& request, double wait,
                                Time now) const;

  /// When to warn of a request that still waits: early enough for the closing
  /// of greater ranks to settle before its latest start.
  Time WarnAt(const RequestState& request, Time now) const;

  LengthPredictor& Lengths() { return lengths_; }

 private:
  // Moves the latest start forward, so that an answer far longer than the
  // median does not end after its deadline and waste its prefill.
  void ReserveForLongAnswer(RequestState* request, Time now) const;

  double Slack(const RequestState& request, Time now) const;

  const SchedulerOptions options_;
  LengthPredictor lengths_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_ADMISSION_H_
