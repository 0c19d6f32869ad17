#ifndef HORNBEAMCLEAT_SRC_LOAD_LOAD_SESSION_H_
#define HORNBEAMCLEAT_SRC_LOAD_LOAD_SESSION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/load/answer_check.h"
#include "src/load/arrival_plan.h"
#include "src/load/request_record.h"
#include "src/net/event_stream.h"
#include "src/net/target_client.h"

namespace hornbeamcleat {

/// What a session wants next.
enum class SessionStep {
  kWait,    ///< nothing; the exchange goes on
  kDone,    ///< the request has ended; its record is final
  kSend,    ///< send the request again, after RetryDelay
  kResume,  ///< resume the answer at another entry, after RetryDelay
};

/// What sessions of one run have in common.
struct SessionOptions {
  PromptShape prompts;
  int max_retries = 0;
  bool direct = false;  ///< exchanges go to an engine, without an entry
  WallTime run_start;   ///< date of idempotency keys

  bool operator==(const SessionOptions&) const = default;
};

/// One request of a run, over all its exchanges. No sockets and no clock:
/// instants since the start of the run are passed in.
class LoadSession {
 public:
  LoadSession(const PlannedRequest& plan, const RequestClass& request_class,
              const SessionOptions& options);

  /// Request of the next exchange, to send to `address` now.
  TargetRequest Begin(SessionStep step, const std::string& address,
                      Duration now);

  /// The exchange's events, as TargetHandler has them.
  SessionStep TakeHead(int status,
                       const std::map<std::string, std::string>& headers);
  SessionStep TakeBody(std::string_view bytes, Duration now);
  SessionStep TakeEnd(TargetEnd end, const std::string& cause, Duration now);

  /// The run is over.
  void GiveUp(Duration now);

  Duration RetryDelay() const { return retry_delay_; }
  const RequestRecord& Record() const { return record_; }

  /// Times between parts, in microseconds.
  const std::vector<std::uint32_t>& Gaps() const { return gaps_; }

 private:
  SessionStep TakeEvent(const StreamEvent& event, Duration now);
  SessionStep TakeToken(Duration now);
  SessionStep TakeRefusal(const std::string& problem, Duration now);
  SessionStep TakeServiceAnswer(Duration now);
  SessionStep Finish(RequestEnd end, const std::string& reason, Duration now);
  SessionStep FinishWhole(Duration now);
  std::string Body() const;
  std::string Key() const;

  PlannedRequest plan_;
  RequestClass class_;
  SessionOptions options_;
  int retries_left_;
  RequestRecord record_;
  AnswerCheck check_;
  EventStreamParser parser_;
  int status_ = 0;
  bool streaming_ = false;
  bool done_ = false;
  std::string body_;
  std::string resume_handle_;
  Duration retry_delay_ = Duration(0);
  Duration last_part_ = Duration(-1);
  std::vector<std::uint32_t> gaps_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LOAD_LOAD_SESSION_H_
