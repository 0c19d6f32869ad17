#ifndef HORNBEAMCLEAT_SRC_ENTRY_ANSWER_H_
#define HORNBEAMCLEAT_SRC_ENTRY_ANSWER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/schedule/action.h"
#include "hornbeamcleat/schedule/event.h"
#include "src/entry/answer_context.h"
#include "src/entry/part_sequence.h"
#include "src/entry/resume_handle.h"
#include "src/entry/target_exchange.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// One caller's request and its answer on the traffic thread. Executes the
/// scheduler's actions and reports events to it. An answer resumed with a
/// handle is unknown to this entry's scheduler and handles its own retries.
class Answer : public TargetExchangeHandler {
 public:
  /// Creates an answer that the scheduler controls.
  Answer(AnswerContext* context, RequestId id, CallerRequest request);

  /// Resumes the answer of `handle` after part `last`.
  Answer(AnswerContext* context, const ResumeHandle& handle,
         CallerRequest request, std::uint64_t last);

  Answer(const Answer&) = delete;
  Answer& operator=(const Answer&) = delete;
  ~Answer() override;

  const RequestId& Id() const { return id_; }
  std::uint64_t CallerHandle() const { return request_.handle; }

  /// Whether the answer was completed, refused, cancelled or handed over.
  bool Finished() const { return finished_; }

  /// Whether the scheduler of this entry controls the answer.
  bool Scheduled() const { return scheduled_; }

  void Dispatch(const DispatchAction& action);
  /// Opens another connection to `address` to fetch the missing parts.
  void Resume(const std::string& address);
  /// Closes all connections to targets.
  void CloseExchanges();
  void Refuse(const RefuseAction& refusal);

  /// Handles the loss of the caller's connection. If the stream has begun, the
  /// caller can resume within `caller_grace`; otherwise, or after that time,
  /// the work is cancelled.
  void OnCallerDisconnected();

  /// Cancels the work; the caller will not resume.
  void Cancel();

  /// Finishes here without cancelling the work: the caller has resumed the
  /// answer at another entry.
  void HandOver();

  /// Continues after part `last` on a new connection from the caller.
  void Reattach(CallerRequest request, std::uint64_t last);

  /// Handles timeouts.
  void Tick(Time now);

  /// Returns the exchange with `handle`, or nullptr.
  TargetExchange* Find(std::uint64_t handle);
  /// Destroys closed exchanges.
  void RemoveClosedExchanges();

  void OnSent(TargetExchange* exchange) override;
  void OnStream(TargetExchange* exchange) override;
  void OnPart(TargetExchange* exchange, const StreamEvent& part) override;
  void OnStreamDone(TargetExchange* exchange, const StreamEvent& last) override;
  void OnPlainAnswer(TargetExchange* exchange,
                     const CallerAnswer& answer) override;
  void OnNotRun(TargetExchange* exchange, bool reported_by_target,
                Duration retry_after) override;
  void OnFailed(TargetExchange* exchange) override;
  void OnResumeRefused(TargetExchange* exchange) override;
  void OnIncomplete(TargetExchange* exchange) override;
  void OnRequestIdMismatch(TargetExchange* exchange) override;

 private:
  TargetExchange* AddExchange(TargetExchange::Kind kind);
  void CloseExchange(TargetExchange* exchange);
  void CloseOthers(const TargetExchange* kept);
  bool HasResume() const;
  void BeginAnswer();
  void ReportProgress();
  void HandleConnectionLoss(TargetExchange* exchange);
  void Notify(const RequestEvent& event);
  void RetryResume();
  void TickResume(Time now);

  AnswerContext* context_;
  RequestId id_;
  CallerRequest request_;
  bool scheduled_;
  std::string address_;  ///< of the target in use
  std::string version_;
  std::vector<std::unique_ptr<TargetExchange>> exchanges_;
  PartSequence sequence_;
  std::string last_data_;  ///< of the last part; has the usage at the end
  bool head_sent_ = false;
  bool finished_ = false;
  bool suppress_resumed_event_ = false;  ///< not requested by the scheduler
  int consecutive_resumes_ = 0;          ///< since the last part received
  bool caller_disconnected_ = false;     ///< and may still resume
  Time disconnected_at_;
  Time resume_started_;
  Time last_progress_;
  Time last_report_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ANSWER_H_
