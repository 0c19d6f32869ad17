#include "src/serving/admission.h"

#include <limits>
#include <utility>

namespace hornbeamcleat {
namespace {

/// Retry-After of a VM without a valid configuration. Short, since other VMs
/// are likely to have one.
constexpr Duration kStaleRetryAfter = std::chrono::milliseconds(500);
/// Allowance for the time from the last check until the target receives the
/// request, and for clock errors.
constexpr Duration kKeyLimitMargin = std::chrono::milliseconds(300);

/// Time over which callers return after a trial is due.
constexpr Duration kTrialRetrySpread = std::chrono::seconds(3);

}  // namespace

const char* RefusalName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kNoConfiguration:
      return "no_configuration";
    case RefusalReason::kStaleKeys:
      return "stale_keys";
    case RefusalReason::kNoRoute:
      return "no_route";
    case RefusalReason::kUnknownKey:
      return "unknown_key";
    case RefusalReason::kOverQuota:
      return "over_quota";
    case RefusalReason::kPoison:
      return "poison";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kNoPlace:
      return "no_place";
    case RefusalReason::kNotRun:
      return "not_run";
    case RefusalReason::kUnreached:
      return "unreached";
    case RefusalReason::kTimedOut:
      return "timed_out";
    case RefusalReason::kBadAnswer:
      return "bad_answer";
  }
  return "none";
}

int RefusalStatus(RefusalReason reason, bool may_have_run) {
  switch (reason) {
    case RefusalReason::kNoRoute:
      return 404;
    case RefusalReason::kUnknownKey:
      return 401;
    case RefusalReason::kOverQuota:
      return 429;
    case RefusalReason::kTimedOut:
      return may_have_run ? 504 : 503;
    default:
      return may_have_run ? 502 : 503;
  }
}

bool AdmissionController::SetTable(std::shared_ptr<const RouteTable> table) {
  if (table_ != nullptr &&
      table->Config().version <= table_->Config().version) {
    return false;
  }
  table_ = std::move(table);
  return true;
}

bool AdmissionController::IsFresh(Time boot_now) const {
  return table_ != nullptr &&
         (!options_.fails_closed ||
          freshness_.IsWithin(boot_now, options_.key_limit - kKeyLimitMargin));
}

Admission AdmissionController::Admit(const AdmissionQuery& query) {
  Admission admission;
  if (table_ == nullptr) {
    admission.refusal = RefusalReason::kNoConfiguration;
    admission.retry_after = kStaleRetryAfter;
    return admission;
  }
  admission.table = table_;
  admission.key_table = table_;
  admission.route = table_->Find(query.host, query.path);
  if (admission.route == nullptr) {
    admission.refusal = RefusalReason::kNoRoute;
    return admission;
  }
  admission.rank = admission.route->rank;
  if (!admission.route->is_public && table_->Config().requires_keys) {
    if (!IsFresh(query.boot_now)) {
      admission.refusal = RefusalReason::kStaleKeys;
      admission.retry_after = kStaleRetryAfter;
      return admission;
    }
    admission.workspace = table_->FindWorkspace(query.key);
    if (admission.workspace == nullptr) {
      admission.refusal = RefusalReason::kUnknownKey;
      return admission;
    }
    admission.rank = admission.workspace->rank.value_or(admission.rank);
  }
  if (!losses_.RefusedOf(query.properties).empty()) {
    admission.is_trial =
        losses_.TakeTrial(query.properties, trial_delay_, query.boot_now);
    if (!admission.is_trial) {
      admission.refusal = RefusalReason::kPoison;
      admission.retry_after =
          TrialRetryAfter(query.properties, query.seed, query.boot_now);
      return admission;
    }
  }
  Charge(query, &admission);
  return admission;
}

bool AdmissionController::Charge(const AdmissionQuery& query,
                                 Admission* admission) {
  admission->charged = 0;
  if (admission->workspace == nullptr) {
    return true;
  }
  const ServingWorkspace& workspace = *admission->workspace;
  const double tokens =
      query.states_tokens ? query.tokens : workspace.default_tokens;
  const double cost = workspace.counts_tokens ? tokens : 1;
  admission->quota = quotas_.Admit(workspace, cost, query.now);
  if (!admission->quota.is_admitted) {
    admission->refusal = RefusalReason::kOverQuota;
    admission->retry_after = admission->quota.retry_after;
    return false;
  }
  admission->charged = cost;
  return true;
}

Duration AdmissionController::TrialRetryAfter(
    const std::vector<RequestProperty>& properties, std::uint32_t seed,
    Time boot_now) const {
  const double share =
      static_cast<double>(seed) / std::numeric_limits<std::uint32_t>::max();
  return losses_.TimeToTrial(properties, boot_now) +
         FromSeconds(share * ToSeconds(kTrialRetrySpread));
}

// A request that needed no key when it was admitted needs none later. The route
// stays the one that it was admitted on, since its target and its times follow
// from that; only whether it needs a key is looked up again.
RefusalReason AdmissionController::Revalidate(const AdmissionQuery& query,
                                              bool may_have_run,
                                              Admission* admission) {
  if (admission->workspace == nullptr) {
    return RefusalReason::kNone;
  }
  if (!IsFresh(query.boot_now)) {
    admission->retry_after = kStaleRetryAfter;
    return RefusalReason::kStaleKeys;
  }
  const ServingRoute* route = table_->Find(query.host, query.path);
  const bool needs_key =
      table_->Config().requires_keys && (route == nullptr || !route->is_public);
  const ServingWorkspace* owner =
      needs_key ? table_->FindWorkspace(query.key) : nullptr;
  if (needs_key && owner == nullptr) {
    return RefusalReason::kUnknownKey;
  }
  const std::string previous = admission->workspace->name;
  const bool has_moved = owner == nullptr || owner->name != previous;
  admission->key_table = table_;
  admission->workspace = owner;
  if (owner != nullptr) {
    admission->rank = owner->rank.value_or(admission->route->rank);
  }
  // What has run stays charged to the workspace that it has run for.
  if (!has_moved || may_have_run) {
    return RefusalReason::kNone;
  }
  quotas_.Refund(previous, admission->charged);
  return Charge(query, admission) ? RefusalReason::kNone
                                  : RefusalReason::kOverQuota;
}

}  // namespace hornbeamcleat
