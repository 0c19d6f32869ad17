#include "src/move/version_analyzer.h"

#include <algorithm>
#include <cmath>

#include "src/move/evidence_limits.h"

namespace hornbeamcleat {
namespace {

constexpr double kRecentHalfLifeSeconds = 30;
constexpr int kTestsPerRoute = 3;
// Least requests of the new version before its evidence counts for growth.
constexpr std::uint64_t kMinEnds = 20;
// Routes below this part of the old version's traffic need one answer only.
constexpr double kMinRouteShare = 0.005;

std::uint64_t Ends(const VersionEvidence& sums) {
  return sums.done + sums.faults;
}

LogTimes FirstPart(const VersionEvidence& sums) {
  return {sums.done, sums.first_part_log_sum, sums.first_part_log_square_sum};
}

LogTimes Gap(const VersionEvidence& sums) {
  return {sums.gaps, sums.gap_log_sum, sums.gap_log_square_sum};
}

// Growth of the sums from `before` to `now`; none if they shrank.
VersionEvidence Growth(const VersionEvidence& now,
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

VersionAnalyzer::Tests::Tests(const MoveSpec& spec)
    : faults(spec.max_fault_ratio),
      first_part(spec.max_latency_ratio),
      gap(spec.max_latency_ratio) {}

VersionAnalyzer::VersionAnalyzer(const MoveSpec& spec)
    : spec_(spec), all_(spec), high_load_(spec) {}

std::map<VersionAnalyzer::StratumKey, VersionAnalyzer::Step>
VersionAnalyzer::TakeSteps(const std::vector<VersionEvidence>& sums) {
  std::map<StratumKey, Step> steps;
  for (const VersionEvidence& sum : sums) {
    const bool fresh = sum.version == spec_.to_version;
    if (sum.model != spec_.model ||
        (!fresh && sum.version != spec_.from_version)) {
      continue;
    }
    const StratumKey key = {{sum.workspace, sum.application, sum.tier_rank},
                            sum.length_class,
                            sum.load_level};
    Stratum& stratum = strata_[key];
    Step& step = steps[key];
    VersionEvidence& before = fresh ? stratum.fresh : stratum.old;
    (fresh ? step.fresh : step.old) = Growth(sum, before);
    before = sum;
  }
  return steps;
}

VersionAnalyzer::Tests* VersionAnalyzer::RouteTests(const RouteKey& key) {
  return &routes_.try_emplace(key, spec_).first->second;
}

void VersionAnalyzer::AddTimes(const Step& step, const Stratum& stratum,
                               Tests* tests) {
  tests->first_part.Add(FirstPart(step.fresh), stratum.first_part);
  tests->gap.Add(Gap(step.fresh), stratum.gap);
}

void VersionAnalyzer::AddCounts(const Step& step, Tests* tests) {
  tests->fresh.ends += Ends(step.fresh);
  tests->fresh.faults += step.fresh.faults;
  tests->old.ends += Ends(step.old);
  tests->old.faults += step.old.faults;
}

void VersionAnalyzer::Finish(double decay, bool start_point, Tests* tests) {
  if (start_point) {
    tests->faults.AddStartPoint();
    tests->first_part.AddStartPoint();
    tests->gap.AddStartPoint();
  }
  tests->faults.Add(tests->fresh, tests->old, decay);
  tests->old_ends += tests->old.ends;
  tests->fresh = {};
  tests->old = {};
}

void VersionAnalyzer::AddStep(const StratumKey& key, const Step& step,
                              double decay) {
  Stratum& stratum = strata_[key];
  stratum.first_part.Add(FirstPart(step.old), decay);
  stratum.gap.Add(Gap(step.old), decay);
  std::vector<Tests*> groups = {RouteTests(key.route), &all_};
  if (key.load_level >= kHighLoad) {
    groups.push_back(&high_load_);
  }
  for (Tests* tests : groups) {
    AddCounts(step, tests);
    AddTimes(step, stratum, tests);
  }
}

VersionAssessment VersionAnalyzer::Update(
    const std::vector<VersionEvidence>& sums, WallTime now, bool start_point) {
  const double seconds =
      updated_ ? std::chrono::duration<double>(now - last_update_).count() : 0;
  const double decay =
      std::exp2(-std::max(0.0, seconds) / kRecentHalfLifeSeconds);
  const std::map<StratumKey, Step> steps = TakeSteps(sums);
  // What the old version did before the move is no side-by-side evidence; a
  // daemon that takes a move over has no other.
  const bool taken_over =
      std::any_of(steps.begin(), steps.end(),
                  [](const auto& step) { return Ends(step.second.fresh) > 0; });
  if (updated_ || taken_over) {
    for (const auto& [key, step] : steps) {
      AddStep(key, step, decay);
    }
    for (auto& [key, tests] : routes_) {
      Finish(decay, start_point, &tests);
    }
    Finish(decay, start_point, &all_);
    Finish(decay, start_point, &high_load_);
  }
  updated_ = true;
  last_update_ = now;
  return Judge();
}

void VersionAnalyzer::JudgeBad(const Tests& tests, const std::string& where,
                               double threshold,
                               VersionAssessment* verdict) const {
  const bool faults =
      tests.faults.LogBad() >= threshold && tests.faults.ExcessSeen();
  const bool slow = tests.first_part.LogBad() >= threshold;
  const bool gaps = tests.gap.LogBad() >= threshold;
  if (!verdict->bad && (faults || slow || gaps)) {
    verdict->bad = true;
    verdict->reason = faults ? "it fails more often than the old version"
                      : slow ? "its first parts are late"
                             : "its parts come slowly";
    verdict->reason += " " + where;
  }
  const double worst = std::max(
      {tests.faults.LogBad(), tests.first_part.LogBad(), tests.gap.LogBad()});
  verdict->suspect = verdict->suspect || worst >= kLogSuspect;
}

void VersionAnalyzer::JudgeGood(const Tests& tests, const std::string& where,
                                VersionAssessment* verdict) const {
  const double log_good =
      std::min({tests.faults.LogGood(),
                std::max(tests.first_part.LogGood(), 0.0) + kLogGoodEnough,
                std::max(tests.gap.LogGood(), 0.0) + kLogGoodEnough});
  const bool slow = tests.first_part.LogGood() < 0 || tests.gap.LogGood() < 0;
  const bool enough = tests.faults.Ends() >= kMinEnds;
  verdict->good =
      verdict->good && enough && !slow && log_good >= kLogGoodEnough;
  verdict->plausible = verdict->plausible && enough && !slow && log_good >= 0;
  if (!verdict->good && verdict->reason.empty()) {
    verdict->reason = "waiting for evidence " + where;
  }
}

VersionAssessment VersionAnalyzer::Judge() const {
  VersionAssessment verdict;
  verdict.good = true;
  verdict.plausible = true;
  verdict.exposed = all_.faults.Ends() > 0;
  verdict.ends = all_.faults.Ends();
  const double all_ends = static_cast<double>(verdict.ends + all_.old_ends);
  verdict.fresh_ratio =
      static_cast<double>(verdict.ends) / std::max(1.0, all_ends);
  const double tests = static_cast<double>(routes_.size() + 2) * kTestsPerRoute;
  const double threshold = std::log(tests / kFalsePositiveRate);
  JudgeBad(all_, "over all routes", threshold, &verdict);
  JudgeBad(high_load_, "at high load", threshold, &verdict);
  for (const auto& [key, route] : routes_) {
    JudgeBad(route, "on route " + key.workspace + "/" + key.application,
             threshold, &verdict);
  }
  JudgeGood(all_, "over all routes", &verdict);
  for (const auto& [key, route] : routes_) {
    const std::string where =
        "on route " + key.workspace + "/" + key.application;
    const bool small = static_cast<double>(route.old_ends) <
                       kMinRouteShare * static_cast<double>(all_.old_ends);
    if (!small) {
      verdict.exposed = verdict.exposed && route.faults.Ends() > 0;
      JudgeGood(route, where, &verdict);
    }
  }
  verdict.met_load =
      high_load_.old_ends == 0 || high_load_.faults.Ends() >= kMinEnds;
  return verdict;
}

}  // namespace hornbeamcleat
