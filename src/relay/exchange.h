#ifndef HORNBEAMCLEAT_SRC_RELAY_EXCHANGE_H_
#define HORNBEAMCLEAT_SRC_RELAY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "src/relay/caller_connection.h"
#include "src/relay/target_call.h"
#include "src/serving/admission.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {

class Clock;
class Dialect;
class Exchange;
class Metrics;
class PollLoop;
class RequestLog;
class TargetPool;
class VersionMoves;

/// What exchanges share, on the traffic thread.
class ExchangeHost {
 public:
  virtual ~ExchangeHost() = default;

  virtual PollLoop* Loop() = 0;
  virtual const Clock* GetClock() = 0;
  virtual const Dialect* GetDialect() = 0;
  virtual AdmissionController* Desk() = 0;
  virtual TargetBalancer* Board() = 0;
  virtual WaitQueue* Line() = 0;
  virtual TargetPool* Pool() = 0;
  virtual VersionMoves* Moves() = 0;
  virtual RequestLog* GetLog() = 0;
  virtual Metrics* GetMetrics() = 0;
  virtual const std::string& FailureDomain() = 0;

  /// Whether this VM turns new requests away because it stops.
  virtual bool TurnsAway() = 0;
  /// Takes a retry at the service out of the budget.
  virtual bool TakeRetry(const std::string& service) = 0;
  /// A request is sent to the service for the first time.
  virtual void OnFirstAttempt(const std::string& service) = 0;
  /// The line or the places have changed; decisions follow soon.
  virtual void RequestDecisions() = 0;
  /// Registers an exchange for the line's decisions, or takes it out.
  virtual void SetWaiting(std::uint64_t number, Exchange* exchange) = 0;
  virtual std::uint64_t NextNumber() = 0;
};

/// One request of a caller from admission to its end: waits for a place, goes
/// to a target, passes the answer on, is tried again or resumed where that is
/// allowed.
///
/// A request counts as possibly run from the moment at which its first byte may
/// have left. From then on only a target's own word that it did not run allows
/// an answer that says so, or another send of what must not repeat.
class Exchange : public RequestHandler {
 public:
  static std::unique_ptr<Exchange> Start(ExchangeHost* host,
                                         CallerRequest request,
                                         AnswerSink* sink);

  /// The line has decided on this request.
  virtual void OnDecision(const WaitDecision& decision) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_EXCHANGE_H_
