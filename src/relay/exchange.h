#ifndef HORNBEAMCLEAT_SRC_RELAY_EXCHANGE_H_
#define HORNBEAMCLEAT_SRC_RELAY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "src/relay/caller_connection.h"
#include "src/relay/target_call.h"
#include "src/serving/admission.h"
#include "src/serving/wait_line.h"

namespace hornbeamcleat {

class Clock;
class HttpCodec;
class Exchange;
class Metrics;
class PollLoop;
class RequestLog;
class TargetConnectionPool;
class VersionMoves;

/// What exchanges share, on the traffic thread.
class ExchangeContext {
 public:
  virtual ~ExchangeContext() = default;

  virtual PollLoop* GetLoop() = 0;
  virtual const Clock* GetClock() = 0;
  virtual const HttpCodec* GetDialect() = 0;
  virtual AdmissionDesk* GetAdmission() = 0;
  virtual TargetBoard* GetTargets() = 0;
  virtual WaitLine* GetQueue() = 0;
  virtual TargetConnectionPool* GetConnectionPool() = 0;
  virtual VersionMoves* GetMoves() = 0;
  virtual RequestLog* GetLog() = 0;
  virtual Metrics* GetMetrics() = 0;
  virtual const std::string& FailureDomain() = 0;

  /// Whether this VM turns new requests away because it stops.
  virtual bool RejectsNewRequests() = 0;
  /// Takes a retry at the service out of the budget.
  virtual bool TryTakeRetry(const std::string& service) = 0;
  /// A request is sent to the service for the first time.
  virtual void OnFirstAttempt(const std::string& service) = 0;
  /// The line or the places have changed; decisions follow soon.
  virtual void ScheduleDecisions() = 0;
  /// Registers an exchange for the line's decisions, or takes it out.
  virtual void SetWaiting(std::uint64_t id, Exchange* exchange) = 0;
  virtual std::uint64_t NextExchangeId() = 0;
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
  static std::unique_ptr<Exchange> Start(ExchangeContext* host,
                                         CallerRequest request,
                                         ResponseSink* sink);

  /// The line has decided on this request.
  virtual void OnDecision(const WaitDecision& decision) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_EXCHANGE_H_
