#ifndef HORNBEAMCLEAT_SRC_RELAY_EXCHANGE_H_
#define HORNBEAMCLEAT_SRC_RELAY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "src/relay/caller_connection.h"
#include "src/relay/target_call.h"
#include "src/serving/admission.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {

class BufferBudget;
class CallerPatience;
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
  virtual const HttpCodec* GetCodec() = 0;
  virtual AdmissionController* GetAdmission() = 0;
  virtual TargetBalancer* GetTargets() = 0;
  virtual WaitQueue* GetQueue() = 0;
  virtual CallerPatience* GetPatience() = 0;
  /// Fraction of the time that callers have left for which they follow
  /// Retry-After; 0: unknown.
  virtual double RetryWaitShare() = 0;
  virtual TargetConnectionPool* GetConnectionPool() = 0;
  /// What responses of targets may hold in memory together.
  virtual std::shared_ptr<BufferBudget> GetResponseBudget() = 0;
  virtual VersionMoves* GetMoves() = 0;
  virtual RequestLog* GetLog() = 0;
  virtual Metrics* GetMetrics() = 0;
  virtual const std::string& FailureDomain() = 0;

  /// Whether this VM rejects new requests because it is shutting down.
  virtual bool RejectsNewRequests() = 0;
  /// Whether a request of this route, if sent now, is likely to end before this
  /// VM exits; true unless it is shutting down.
  virtual bool EndsBeforeExit(const std::string& route) = 0;
  /// A request was answered, from its arrival to its last byte.
  virtual void OnAnswered(const std::string& route, Duration duration) = 0;
  /// Takes one retry from the service's budget; false if there is none.
  virtual bool TryTakeRetry(const std::string& service) = 0;
  /// A request is sent to the service for the first time, which adds to the
  /// retry budget.
  virtual void OnFirstAttempt(const std::string& service) = 0;
  /// Schedules placement decisions after a change to the queue or to free
  /// slots.
  virtual void ScheduleDecisions() = 0;
  /// Registers an exchange for queue decisions; nullptr unregisters it.
  virtual void SetWaiting(std::uint64_t id, Exchange* exchange) = 0;
  /// Registers an exchange whose target has not begun to answer, for changes to
  /// what is refused; nullptr unregisters it.
  virtual void SetInFlight(std::uint64_t id, Exchange* exchange) = 0;
  virtual std::uint64_t NextExchangeId() = 0;
  /// A target has stated something of itself in an answer, or answered without
  /// a statement.
  /// @param sent when the request was sent, on the suspension-aware clock, if
  ///   this is its signed answer
  virtual void OnTargetStatement(const ServingTarget& target,
                                 const TargetStatement& statement,
                                 std::optional<Time> sent) = 0;
  /// A target has stated its load in the answer to a request.
  /// @param load nullopt if it can't be read
  /// @param is_invalid whether part of it can't be read
  virtual void OnTargetLoad(const ServingTarget& target,
                            const std::optional<TargetLoadReport>& load,
                            bool is_invalid) = 0;
  /// Losses may have been recorded or cleared, which peers must hear of.
  virtual void OnLossesChange() = 0;
  /// Targets may have become cold or warm, which peers must hear of.
  virtual void OnColdChange() = 0;
};

/// Processes one request of a caller: admission, queueing, dispatch to a
/// target, forwarding of the response, and retries or resumption where the
/// route allows them.
///
/// A request counts as possibly executed once its first byte may have been
/// sent. From then on, only the target's own statement that it did not execute
/// the request allows a status that guarantees this to the caller, or another
/// send of a request that is not idempotent.
class Exchange : public RequestHandler {
 public:
  static std::unique_ptr<Exchange> Start(ExchangeContext* host,
                                         CallerRequest request,
                                         ResponseSink* sink);

  /// Applies the queue's decision on this request.
  virtual void OnDecision(const WaitDecision& decision) = 0;

  /// Ends a request that waits, or that its target has not begun to answer, if
  /// one of its properties is refused by now.
  virtual void RecheckProperties() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_EXCHANGE_H_
