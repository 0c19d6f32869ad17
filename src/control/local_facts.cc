#include "src/control/local_facts.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/member/membership.h"
#include "src/control/entry_fact.h"
#include "src/control/evidence_exchange.h"
#include "src/control/loss_facts.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxReasonBytes = 200;
constexpr int kMilli = 1'000;
constexpr int kLoadStepPermille = 100;     // quantization of the published load
constexpr int kFullLoadResponses = 2'000;  // open responses at full load

// Converts to thousandths, rounded to a power of the square root of 2.
int RoundDemand(double demand) {
  if (demand * kMilli < 1) {
    return 0;
  }
  const double steps = std::round(2 * std::log2(demand * kMilli));
  return static_cast<int>(std::exp2(steps / 2));
}

int RoundLoad(int open) {
  const int permille = std::min(kMilli, open * kMilli / kFullLoadResponses);
  return permille / kLoadStepPermille * kLoadStepPermille;
}

}  // namespace

LocalFacts::LocalFacts(Membership* membership, Metrics* metrics)
    : membership_(membership), metrics_(metrics) {}

void LocalFacts::PublishEntry(const ReportMessage& report, bool serving,
                              std::uint64_t revision, const std::string& api,
                              Time now) {
  EntryFact fact;
  fact.serving = serving;
  fact.load_permille = RoundLoad(report.open);
  fact.closed_rank = report.facts.closed_rank;
  for (const auto& [model, demand] : report.facts.demand) {
    fact.demand_milli[model] = RoundDemand(demand);
  }
  fact.config_revision = revision;
  fact.api = api;
  Publish(kEntryFactKey, EncodeEntryFact(fact), true, now);
}

void LocalFacts::PublishLosses(const SequencedLosses& losses, Time now) {
  if (losses.sequence == published_losses_) {
    return;
  }
  published_losses_ = losses.sequence;
  const std::vector<std::string> chunks = LossChunks(losses);
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    Publish(fmt::format("{}{}", kLossesPrefix, i), chunks[i], true, now);
  }
}

void LocalFacts::PublishEvidence(const ReportMessage& report,
                                 const std::set<std::string>& models,
                                 Time now) {
  const std::vector<std::string> chunks =
      EvidenceChunks({report.incarnation, report.evidence}, models);
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    Publish(fmt::format("{}{}", kEvidencePrefix, i), chunks[i], true, now);
  }
}

void LocalFacts::PublishWithdrawal(const VersionKey& key,
                                   const std::string& reason, Time now) {
  Publish(WithdrawnFactKey(key), reason.substr(0, kMaxReasonBytes), false, now);
}

void LocalFacts::Publish(const std::string& key, const std::string& value,
                         bool expires, Time now) {
  try {
    membership_->SetFact(key, value, expires, now);
  } catch (const Error& e) {
    metrics_->Count("facts_refused_total", "cause", "too_large");
    log_.Warning("Failed to publish a fact. cause={}", e.what());
  }
}

}  // namespace hornbeamcleat
