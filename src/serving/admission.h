#ifndef HORNBEAMCLEAT_SRC_SERVING_ADMISSION_H_
#define HORNBEAMCLEAT_SRC_SERVING_ADMISSION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/route_table.h"
#include "src/schedule/poison_table.h"
#include "src/serving/freshness.h"
#include "src/serving/quota_ledger.h"

namespace hornbeamcleat {

/// Why a request gets an answer of the scheduler's own.
enum class RefusalReason {
  kNone,
  kNoConfiguration,  ///< none has been read yet
  kStaleKeys,        ///< keys may have been taken away meanwhile
  kNoRoute,
  kUnknownKey,
  kOverQuota,
  kPoison,     ///< its content brought targets down
  kDraining,   ///< this VM stops
  kNoPlace,    ///< no target can take it in time
  kNotRun,     ///< targets turned it away
  kUnreached,  ///< no target could be reached
  kTimedOut,   ///< its time is over
  kBadAnswer,  ///< the target's answer was broken or malformed
};

/// Name of a reason in logs and metrics.
const char* RefusalName(RefusalReason reason);

/// Status of the answer. Those that promise that the request has not run are
/// given only to requests that have not been sent.
int RefusalStatus(RefusalReason reason, bool may_have_run);

/// What admission looks at.
struct AdmissionQuery {
  std::string host;
  std::string path;  ///< without query
  std::string key;   ///< empty if none was sent
  bool states_tokens = false;
  double tokens = 0;              ///< as quotas count them
  std::uint64_t fingerprint = 0;  ///< of the request's content
  Time now;
  Time boot_now;  ///< clock of the freshness proof
};

/// Admitted request, or the reason against it.
struct Admission {
  RefusalReason refusal = RefusalReason::kNone;
  Duration retry_after{0};
  std::shared_ptr<const RouteTable> table;  ///< keeps the pointers below alive
  const ServingRoute* route = nullptr;
  const ServingWorkspace* workspace = nullptr;  ///< nullptr on a public route
  int rank = 0;
  double charged = 0;  ///< against the workspace's quota
  QuotaVerdict quota;  ///< of a request that was weighed against a quota

  bool IsAdmitted() const { return refusal == RefusalReason::kNone; }
};

/// Checks a request against the configuration in force: route, key, freshness,
/// quota and content. Holds the configuration and the proof that it is new.
class AdmissionController {
 public:
  struct Options {
    bool fails_closed = true;  ///< unproven keys are not served
    Duration key_limit{0};     ///< longest life of a key taken away
    int poison_limit = 2;      ///< targets lost to one content
    Duration poison_expiry{0};
  };

  explicit AdmissionController(const Options& options)
      : options_(options),
        poison_(options.poison_limit, options.poison_expiry) {}

  void SetOptions(const Options& options) { options_ = options; }

  /// Takes a configuration unless it is older than the one in force.
  /// @return whether it was taken
  bool SetTable(std::shared_ptr<const RouteTable> table);
  /// A read sent at `sent` showed that nothing newer exists.
  void OnConfirmed(Time sent) { freshness_.OnRead(sent); }

  Admission Admit(const AdmissionQuery& query);

  /// Checks an admitted request again, right before it is sent: its key must
  /// still be held, by proof.
  RefusalReason Revalidate(const Admission& admission, const std::string& key,
                           Time boot_now) const;

  /// Whether requests with a key are served.
  bool IsFresh(Time boot_now) const;
  const Freshness& Proof() const { return freshness_; }
  const RouteTable* Table() const { return table_.get(); }
  QuotaLedger* Quotas() { return &quotas_; }
  PoisonTable* Poison() { return &poison_; }
  /// Targets lost to contents at this VM, by the content's fingerprint.
  std::map<std::uint64_t, int> LocalLosses(Time now) const {
    return poison_.Own(now);
  }

 private:
  Options options_;
  std::shared_ptr<const RouteTable> table_;
  Freshness freshness_;
  QuotaLedger quotas_;
  PoisonTable poison_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_ADMISSION_H_
