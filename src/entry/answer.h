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

/// One caller's request and its answer on the traffic thread. Follows the
/// scheduler's actions and reports events to it. An answer resumed with a
/// handle has no place in this entry's scheduler and looks after itself.
class Answer : public TargetExchangeHandler {
 public:
  /// An answer that the scheduler decides on.
  Answer(AnswerContext* context, RequestId id, CallerRequest request);

  /// An answer resumed after part `last`.
  Answer(AnswerContext* context, const ResumeHandle& handle,
         CallerRequest request, std::uint64_t last);

  Answer(const Answer&) = delete;
  Answer& operator=(const Answer&) = delete;
  ~Answer() override;

  const RequestId& Id() const { return id_; }
  std::uint64_t CallerHandle() const { return request_.handle; }

  /// Whether nothing remains to be done.
  bool Finished() const { return finished_; }

  /// Whether the scheduler of this entry knows it.
  bool Scheduled() const { return scheduled_; }

  void Dispatch(const DispatchAction& action);
  /// Opens a further connection to `address` for the parts still missing.
  void Resume(const std::string& address);
  /// Closes all connections to targets.
  void CloseExchanges();
  void Refuse(const RefuseAction& refusal);

  /// The caller's connection broke. Once parts were sent it may come back for
  /// a while; then, or before any part, the work is given up.
  void OnCallerLeft();

  /// Gives the work up: the caller won't come back.
  void GiveUp();

  /// The caller resumed at another entry, which now looks after the answer.
  void HandOver();

  /// Goes on after part `last` towards a new connection of the caller.
  void Reattach(CallerRequest request, std::uint64_t last);

  /// Does what is due by time.
  void Tick(Time now);

  /// The exchange `handle`, or nullptr.
  TargetExchange* Find(std::uint64_t handle);
  /// Frees exchanges that were closed.
  void Sweep();

  void OnSent(TargetExchange* exchange) override;
  void OnStream(TargetExchange* exchange) override;
  void OnPart(TargetExchange* exchange, const StreamEvent& part) override;
  void OnStreamDone(TargetExchange* exchange, const StreamEvent& last) override;
  void OnPlainAnswer(TargetExchange* exchange,
                     const CallerAnswer& answer) override;
  void OnNotRun(TargetExchange* exchange, bool target_word,
                Duration retry_after) override;
  void OnFailed(TargetExchange* exchange) override;
  void OnNoStream(TargetExchange* exchange) override;
  void OnBroken(TargetExchange* exchange) override;
  void OnCrossed(TargetExchange* exchange) override;

 private:
  TargetExchange* AddExchange(TargetExchange::Kind kind);
  void CloseExchange(TargetExchange* exchange);
  void CloseOthers(const TargetExchange* kept);
  bool HasResume() const;
  void BeginAnswer();
  void ReportProgress();
  void Lose(TargetExchange* exchange);
  void Notify(const RequestEvent& event);
  void TryAgain();
  void TickResume(Time now);

  AnswerContext* context_;
  RequestId id_;
  CallerRequest request_;
  bool scheduled_;
  std::string address_;  ///< of the target in use
  std::string version_;
  std::vector<std::unique_ptr<TargetExchange>> exchanges_;
  PartSequence sequence_;
  std::string last_data_;  ///< of the last part; holds the usage at the end
  bool begun_ = false;
  bool finished_ = false;
  bool quiet_resume_ = false;  ///< the scheduler did not ask for the resume
  int resumes_in_row_ = 0;     ///< without a part between them
  bool left_ = false;          ///< the caller's connection broke
  Time left_at_;
  Time resume_begun_;
  Time last_progress_;
  Time last_report_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ANSWER_H_
