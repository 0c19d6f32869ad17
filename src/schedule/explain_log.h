#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_EXPLAIN_LOG_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_EXPLAIN_LOG_H_

#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/schedule/outcome.h"
#include "src/schedule/request_state.h"

namespace hornbeamcleat {

/// Data on a request's last decision.
struct ExplainRecord {
  RequestId id;
  std::shared_ptr<const Route> route;
  TargetName target;  ///< last target; empty if none
  std::string version;
  int attempts = 0;
  double waited = 0;          ///< seconds from arrival to dispatch or refusal
  double predicted_wait = 0;  ///< seconds, on arrival
  double predicted_service = 0;  ///< seconds, on arrival
  bool refused = false;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNotReady;

  bool operator==(const ExplainRecord&) const = default;
};

/// Ring buffer of the last decisions, formatted as text on demand. Lookups are
/// rare and search linearly; adding a record is cheap.
class ExplainLog {
 public:
  static constexpr std::size_t kMaxRecords = 4'096;

  /// Adds a record, which replaces earlier ones of the same request.
  void Put(ExplainRecord record);

  /// Returns one or two sentences; empty if the request is no longer known.
  std::string Text(const RequestId& id) const;

 private:
  static std::string Format(const ExplainRecord& record);

  std::vector<ExplainRecord> ring_;
  std::size_t next_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_EXPLAIN_LOG_H_
