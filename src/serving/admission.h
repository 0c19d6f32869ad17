#ifndef HORNBEAMCLEAT_SRC_SERVING_ADMISSION_H_
#define HORNBEAMCLEAT_SRC_SERVING_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/route_table.h"
#include "src/serving/freshness.h"
#include "src/serving/loss_table.h"
#include "src/serving/quota_limiter.h"

namespace hornbeamcleat {

/// Why a request is answered by this system instead of by a target.
enum class RefusalReason {
  kNone,
  kNoConfiguration,  ///< no configuration has been read yet
  kStaleKeys,        ///< keys may have been revoked since the last read
  kNoRoute,
  kUnknownKey,
  kOverQuota,
  kPoison,     ///< requests with a property of this one have crashed targets
  kDraining,   ///< this VM is shutting down
  kNoPlace,    ///< no target has capacity within the objective
  kNotRun,     ///< targets rejected the request without running it
  kUnreached,  ///< no connection to a target succeeded
  kTimedOut,   ///< the request's deadline has passed
  kBadAnswer,  ///< the target's answer was truncated or malformed
};

/// Returns the reason's name for logs and metrics.
const char* RefusalName(RefusalReason reason);

/// Returns the HTTP status for a refusal. Statuses that guarantee that the
/// request has not executed are returned only if `may_have_run` is false.
int RefusalStatus(RefusalReason reason, bool may_have_run);

/// Request attributes that admission checks.
struct AdmissionQuery {
  std::string host;
  std::string path;  ///< without the query string
  std::string key;   ///< empty if the request has none
  bool states_tokens = false;
  double tokens = 0;  ///< in quota units
  std::vector<RequestProperty> properties;
  std::uint32_t seed = 0;  ///< spreads callers that are refused together
  Time now;
  Time boot_now;  ///< on the clock that includes VM suspension
};

/// Result of admission: the request's route and workspace, or the reason for
/// its refusal.
struct Admission {
  RefusalReason refusal = RefusalReason::kNone;
  Duration retry_after{0};
  std::shared_ptr<const RouteTable> table;  ///< owns `route`
  const ServingRoute* route = nullptr;
  /// Configuration that the key was checked by last; owns `workspace`.
  std::shared_ptr<const RouteTable> key_table;
  const ServingWorkspace* workspace = nullptr;  ///< nullptr if no key is needed
  int rank = 0;
  double charged = 0;   ///< amount charged to the workspace's quota
  QuotaDecision quota;  ///< set if a quota was checked
  /// Whether the request tries out properties that are refused otherwise.
  bool is_trial = false;

  bool IsAdmitted() const { return refusal == RefusalReason::kNone; }
};

/// Checks requests against the active configuration: route, key, configuration
/// freshness, quota and properties that crash targets. Owns the configuration
/// and tracks when it was last confirmed to be current.
class AdmissionController {
 public:
  struct Options {
    bool fails_closed = true;  ///< refuses keys if the config may be stale
    Duration key_limit{0};     ///< maximum time a revoked key may be accepted
    LossTable::Options losses;
  };

  explicit AdmissionController(const Options& options)
      : options_(options), losses_(options.losses) {}

  void SetOptions(const Options& options) {
    options_ = options;
    losses_.SetOptions(options.losses);
  }

  /// Activates a configuration if its version is newer than the active one's.
  /// @return whether the configuration was activated
  bool SetTable(std::shared_ptr<const RouteTable> table);
  /// Records that a read sent at `sent` found no newer configuration.
  void OnConfirmed(Time sent) { freshness_.OnRead(sent); }

  Admission Admit(const AdmissionQuery& query);

  /// Sets a function that returns how long after a trial of a refused property
  /// is due this VM may take it.
  void SetTrialDelay(std::function<Duration(std::uint64_t)> delay) {
    trial_delay_ = std::move(delay);
  }

  /// Returns when a caller refused for a property should return. Callers that
  /// all returned when the next trial is due would reach all VMs at once.
  Duration TrialRetryAfter(const std::vector<RequestProperty>& properties,
                           std::uint32_t seed, Time boot_now) const;

  /// Checks an admitted request again right before it is sent: a key that it
  /// needs must be valid in a configuration known to be current. The request
  /// goes on as one of the workspace that holds the key now, and is charged to
  /// that one's quota if it has not run.
  /// @return why it is refused; `admission` then states when to come back
  RefusalReason Revalidate(const AdmissionQuery& query, bool may_have_run,
                           Admission* admission);
  /// Whether Revalidate() would change nothing.
  bool IsCurrent(const Admission& admission, Time boot_now) const {
    return admission.key_table == table_ &&
           (admission.workspace == nullptr || IsFresh(boot_now));
  }

  /// Whether the configuration is current enough to accept keys.
  bool IsFresh(Time boot_now) const;
  const Freshness& Proof() const { return freshness_; }
  const RouteTable* Table() const { return table_.get(); }
  QuotaLimiter* Quotas() { return &quotas_; }
  /// Uses the clock that includes VM suspension.
  LossTable* Losses() { return &losses_; }

 private:
  /// Charges an admitted request to the quota of its workspace.
  bool Charge(const AdmissionQuery& query, Admission* admission);

  Options options_;
  std::shared_ptr<const RouteTable> table_;
  Freshness freshness_;
  QuotaLimiter quotas_;
  LossTable losses_;
  std::function<Duration(std::uint64_t)> trial_delay_ = [](std::uint64_t) {
    return Duration(0);
  };
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_ADMISSION_H_
