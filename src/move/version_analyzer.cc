#include "src/move/version_analyzer.h"

#include <algorithm>
#include <cmath>

#include "src/move/evidence_limits.h"

namespace hornbeamcleat {
namespace {

constexpr double kRecentHalfLifeSeconds = 30;
constexpr int kTestsPerRoute = 3;
// Minimum number of requests of the new version for its evidence to support
// growth.
constexpr std::uint64_t kMinRequests = 20;
// A route with a smaller part of the old version's traffic is not required to
// be exposed or good.
constexpr double kMinRouteShare = 0.005;

std::uint64_t Requests(const VersionEvidence& sums) {
  return sums.done + sums.faults;
}

LogTimes FirstPartTimes(const VersionEvidence& sums) {
  return {sums.done, sums.first_part_log_sum, sums.first_part_log_square_sum};
}

LogTimes GapTimes(const VersionEvidence& sums) {
  return {sums.gaps, sums.gap_log_sum, sums.gap_log_square_sum};
}

// Increase of the sums from `before` to `now`; zero if they decreased.
VersionEvidence Increase(const VersionEvidence& now,
                         const VersionEvidence& before) {
  VersionEvidence out;
  if (now.done < before.done || now.faults < before.faults ||
      now.gaps < before.gaps) {
    return out;
  }
  out.done = now.done - before.done;
  out.faults = now.faults - before.faults;
  out.first_part_log_sum = now.first_part_log_sum - before.first_part_log_sum;
  out.first_part_log_square_sum =
      now.first_part_log_square_sum - before.first_part_log_square_sum;
  out.gaps = now.gaps - before.gaps;
  out.gap_log_sum = now.gap_log_sum - before.gap_log_sum;
  out.gap_log_square_sum = now.gap_log_square_sum - before.gap_log_square_sum;
  return out;
}

}  // namespace

VersionAnalyzer::TestGroup::TestGroup(const MoveSpec& spec)
    : faults(spec.max_fault_ratio),
      first_part(spec.max_latency_ratio),
      gap(spec.max_latency_ratio) {}

VersionAnalyzer::VersionAnalyzer(const MoveSpec& spec)
    : spec_(spec), all_(spec), high_load_(spec) {}

std::map<VersionAnalyzer::StratumKey, VersionAnalyzer::Delta>
VersionAnalyzer::ComputeDeltas(const std::vector<VersionEvidence>& sums) {
  std::map<StratumKey, Delta> deltas;
  for (const VersionEvidence& sum : sums) {
    const bool canary = sum.version == spec_.to_version;
    if (sum.model != spec_.model ||
        (!canary && sum.version != spec_.from_version)) {
      continue;
    }
    const StratumKey key = {{sum.workspace, sum.application, sum.tier_rank},
                            sum.length_class,
                            sum.load_level};
    Stratum& stratum = strata_[key];
    Delta& delta = deltas[key];
    VersionEvidence& before = canary ? stratum.canary : stratum.baseline;
    (canary ? delta.canary : delta.baseline) = Increase(sum, before);
    before = sum;
  }
  return deltas;
}

VersionAnalyzer::TestGroup* VersionAnalyzer::RouteTestGroup(
    const RouteKey& key) {
  return &routes_.try_emplace(key, spec_).first->second;
}

void VersionAnalyzer::AddTimes(const Delta& delta, const Stratum& stratum,
                               TestGroup* tests) {
  tests->first_part.Add(FirstPartTimes(delta.canary), stratum.first_part);
  tests->gap.Add(GapTimes(delta.canary), stratum.gap);
}

void VersionAnalyzer::AddCounts(const Delta& delta, TestGroup* tests) {
  tests->canary.requests += Requests(delta.canary);
  tests->canary.faults += delta.canary.faults;
  tests->baseline.requests += Requests(delta.baseline);
  tests->baseline.faults += delta.baseline.faults;
}

void VersionAnalyzer::FinishInterval(double decay, bool start_point,
                                     TestGroup* tests) {
  if (start_point) {
    tests->faults.AddStartPoint();
    tests->first_part.AddStartPoint();
    tests->gap.AddStartPoint();
  }
  tests->faults.Add(tests->canary, tests->baseline, decay);
  tests->baseline_requests += tests->baseline.requests;
  tests->canary = {};
  tests->baseline = {};
}

void VersionAnalyzer::AddDelta(const StratumKey& key, const Delta& delta,
                               double decay) {
  Stratum& stratum = strata_[key];
  stratum.first_part.Add(FirstPartTimes(delta.baseline), decay);
  stratum.gap.Add(GapTimes(delta.baseline), decay);
  std::vector<TestGroup*> groups = {RouteTestGroup(key.route), &all_};
  if (key.load_level >= kHighLoad) {
    groups.push_back(&high_load_);
  }
  for (TestGroup* tests : groups) {
    AddCounts(delta, tests);
    AddTimes(delta, stratum, tests);
  }
}

VersionAssessment VersionAnalyzer::Update(
    const std::vector<VersionEvidence>& sums, WallTime now, bool start_point) {
  const double seconds =
      updated_ ? std::chrono::duration<double>(now - last_update_).count() : 0;
  const double decay =
      std::exp2(-std::max(0.0, seconds) / kRecentHalfLifeSeconds);
  const std::map<StratumKey, Delta> deltas = ComputeDeltas(sums);
  // The first sums only set the base, since requests of the old version before
  // the move are not comparable. A daemon that takes over a running move uses
  // them, having no other evidence.
  const bool is_takeover = std::any_of(
      deltas.begin(), deltas.end(),
      [](const auto& delta) { return Requests(delta.second.canary) > 0; });
  if (updated_ || is_takeover) {
    for (const auto& [key, delta] : deltas) {
      AddDelta(key, delta, decay);
    }
    for (auto& [key, tests] : routes_) {
      FinishInterval(decay, start_point, &tests);
    }
    FinishInterval(decay, start_point, &all_);
    FinishInterval(decay, start_point, &high_load_);
  }
  updated_ = true;
  last_update_ = now;
  return Assess();
}

void VersionAnalyzer::AssessBad(const TestGroup& tests,
                                const std::string& where, double threshold,
                                VersionAssessment* assessment) const {
  const bool faults =
      tests.faults.LogEValue() >= threshold && tests.faults.ExcessSeen();
  const bool slow = tests.first_part.LogEValue() >= threshold;
  const bool gaps = tests.gap.LogEValue() >= threshold;
  if (!assessment->bad && (faults || slow || gaps)) {
    assessment->bad = true;
    assessment->reason = faults ? "it fails more often than the old version"
                         : slow ? "its first parts are late"
                                : "its parts come slowly";
    assessment->reason += " " + where;
  }
  const double max_log_e_value =
      std::max({tests.faults.LogEValue(), tests.first_part.LogEValue(),
                tests.gap.LogEValue()});
  assessment->suspect = assessment->suspect || max_log_e_value >= kLogSuspect;
}

void VersionAnalyzer::AssessGood(const TestGroup& tests,
                                 const std::string& where,
                                 VersionAssessment* assessment) const {
  const double log_good_ratio =
      std::min({tests.faults.LogGoodRatio(),
                std::max(tests.first_part.LogGoodRatio(), 0.0) + kLogGoodEnough,
                std::max(tests.gap.LogGoodRatio(), 0.0) + kLogGoodEnough});
  const bool slow =
      tests.first_part.LogGoodRatio() < 0 || tests.gap.LogGoodRatio() < 0;
  const bool enough = tests.faults.Requests() >= kMinRequests;
  assessment->good =
      assessment->good && enough && !slow && log_good_ratio >= kLogGoodEnough;
  assessment->plausible =
      assessment->plausible && enough && !slow && log_good_ratio >= 0;
  if (!assessment->good && assessment->reason.empty()) {
    assessment->reason = "waiting for evidence " + where;
  }
}

VersionAssessment VersionAnalyzer::Assess() const {
  VersionAssessment assessment;
  assessment.good = true;
  assessment.plausible = true;
  assessment.exposed = all_.faults.Requests() > 0;
  assessment.ends = all_.faults.Requests();
  const double all_requests =
      static_cast<double>(assessment.ends + all_.baseline_requests);
  assessment.canary_ratio =
      static_cast<double>(assessment.ends) / std::max(1.0, all_requests);
  const double tests = static_cast<double>(routes_.size() + 2) * kTestsPerRoute;
  const double threshold = std::log(tests / kFalsePositiveRate);
  AssessBad(all_, "over all routes", threshold, &assessment);
  AssessBad(high_load_, "at high load", threshold, &assessment);
  for (const auto& [key, route] : routes_) {
    AssessBad(route, "on route " + key.workspace + "/" + key.application,
              threshold, &assessment);
  }
  for (const LatencyTest* test : {&all_.first_part, &all_.gap}) {
    const double log_ratio = test->LogGoodRatio();
    assessment.slower = assessment.slower || log_ratio < 0;
    assessment.as_fast =
        assessment.as_fast && (log_ratio >= kLogGoodEnough || log_ratio == 0);
  }
  AssessGood(all_, "over all routes", &assessment);
  for (const auto& [key, route] : routes_) {
    const std::string where =
        "on route " + key.workspace + "/" + key.application;
    const bool small =
        static_cast<double>(route.baseline_requests) <
        kMinRouteShare * static_cast<double>(all_.baseline_requests);
    if (!small) {
      assessment.exposed = assessment.exposed && route.faults.Requests() > 0;
      AssessGood(route, where, &assessment);
    }
  }
  assessment.met_load = high_load_.baseline_requests == 0 ||
                        high_load_.faults.Requests() >= kMinRequests;
  return assessment;
}

}  // namespace hornbeamcleat
