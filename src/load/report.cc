#include "src/load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>

#include "hornbeamcleat/schedule/outcome.h"

namespace hornbeamcleat {
namespace {

constexpr double kMicrosecondsPerMs = 1'000;

double Milliseconds(Duration d) {
  return d < Duration(0) ? -1
                         : static_cast<double>(d.count()) / kMicrosecondsPerMs;
}

bool IsWhole(const RequestRecord& record) {
  return record.end == RequestEnd::kWholeInTime ||
         record.end == RequestEnd::kWholeLate;
}

bool IsCapacityReason(const std::string& reason) {
  for (Reason each : {Reason::kQueueFull, Reason::kTierClosed,
                      Reason::kDisplaced, Reason::kDeadline}) {
    if (reason == ReasonName(each)) {
      return true;
    }
  }
  return false;
}

void CountEnd(const RequestRecord& record, double weight, TierReport* report) {
  ++report->offered;
  report->offered_weight += weight;
  switch (record.end) {
    case RequestEnd::kWholeInTime:
      ++report->whole_in_time;
      report->goodput_weight += weight;
      break;
    case RequestEnd::kWholeLate:
      ++report->whole_late;
      break;
    case RequestEnd::kRefused:
      ++report->refused;
      ++report->refusals[record.outcome + "/" + record.reason];
      break;
    case RequestEnd::kWrong:
      ++report->wrong;
      break;
    case RequestEnd::kLost:
      ++report->lost;
      break;
  }
}

std::string TierName(const RequestClass& request_class) {
  return fmt::format("{} {}", request_class.rank, request_class.tier);
}

double WastedRatio(const LoadResult& result, const EngineWork& work) {
  std::int64_t useful = 0;
  for (const RequestRecord& record : result.records) {
    if (record.end == RequestEnd::kWholeInTime) {
      useful += record.prompt_tokens - record.cached_tokens;
    }
  }
  return work.prefill_tokens == 0
             ? 0
             : 1 - static_cast<double>(useful) /
                       static_cast<double>(work.prefill_tokens);
}

std::string FormatTier(const std::string& name, const TierReport& tier) {
  std::string out = fmt::format(
      "{:<12} {:>7} {:>8} {:>6} {:>8} {:>6} {:>5} {:>8.4f} {:>8.1f} {:>8.1f} "
      "{:>8.1f}\n",
      name, tier.offered, tier.whole_in_time, tier.whole_late, tier.refused,
      tier.wrong, tier.lost, tier.GoodputRatio(), tier.first_part.p50,
      tier.first_part.p95, tier.first_part.p99);
  for (const auto& [reason, n] : tier.refusals) {
    out += fmt::format("{:<12}   refused {}: {}\n", "", reason, n);
  }
  return out;
}

}  // namespace

double TierReport::GoodputRatio() const {
  return offered_weight == 0 ? 0 : goodput_weight / offered_weight;
}

Quantiles MakeQuantiles(std::vector<std::uint32_t> microseconds) {
  Quantiles out;
  if (microseconds.empty()) {
    return out;
  }
  std::sort(microseconds.begin(), microseconds.end());
  const auto at = [&](double q) {
    const double rank = std::ceil(q * static_cast<double>(microseconds.size()));
    const std::size_t n = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return microseconds[n] / kMicrosecondsPerMs;
  };
  out.p50 = at(0.5);
  out.p95 = at(0.95);
  out.p99 = at(0.99);
  out.max = at(1);
  return out;
}

std::int64_t CountInversions(const Experiment& experiment,
                             const std::vector<RequestRecord>& records) {
  std::int64_t out = 0;
  for (const RequestRecord& high : records) {
    if (high.end != RequestEnd::kRefused || !IsCapacityReason(high.reason)) {
      continue;
    }
    const RequestClass& high_class = experiment.classes[high.request_class];
    const auto first =
        std::upper_bound(records.begin(), records.end(), high.intended,
                         [](Duration t, const RequestRecord& each) {
                           return t < each.intended;
                         });
    for (auto it = first;
         it != records.end() &&
         it->intended <= high.intended + experiment.inversion_window;
         ++it) {
      const RequestClass& low_class = experiment.classes[it->request_class];
      if (low_class.rank > high_class.rank &&
          low_class.model == high_class.model && IsWhole(*it)) {
        ++out;
        break;
      }
    }
  }
  return out;
}

RunReport MakeReport(const Experiment& experiment, const LoadResult& result,
                     const EngineWork& work) {
  RunReport out;
  std::map<std::string, std::vector<std::uint32_t>> first_parts;
  std::vector<std::uint32_t> all;
  for (const RequestRecord& record : result.records) {
    const RequestClass& each = experiment.classes[record.request_class];
    const std::string tier = TierName(each);
    CountEnd(record, each.weight, &out.tiers[tier]);
    CountEnd(record, each.weight, &out.total);
    out.resumes += record.resumes;
    if (IsWhole(record) && record.first_part >= Duration(0)) {
      const Duration wait = record.first_part - record.intended;
      first_parts[tier].push_back(static_cast<std::uint32_t>(wait.count()));
      all.push_back(first_parts[tier].back());
    }
  }
  for (auto& [tier, report] : out.tiers) {
    report.first_part = MakeQuantiles(first_parts[tier]);
  }
  out.total.first_part = MakeQuantiles(all);
  out.between_parts = MakeQuantiles(result.gaps);
  out.goodput_per_second =
      out.total.goodput_weight / ToSeconds(experiment.length);
  out.inversions = CountInversions(experiment, result.records);
  out.work = work;
  out.wasted_prefill_ratio = WastedRatio(result, work);
  return out;
}

std::string FormatReport(const RunReport& report) {
  std::string out = fmt::format(
      "{:<12} {:>7} {:>8} {:>6} {:>8} {:>6} {:>5} {:>8} {:>8} {:>8} {:>8}\n",
      "tier", "offered", "in time", "late", "refused", "wrong", "lost",
      "goodput", "p50 ms", "p95 ms", "p99 ms");
  for (const auto& [name, tier] : report.tiers) {
    out += FormatTier(name, tier);
  }
  TierReport total = report.total;
  total.refusals.clear();
  out += FormatTier("all", total);
  out += fmt::format(
      "goodput a second: {:.2f}   tier inversions: {}   resumes: {}\n",
      report.goodput_per_second, report.inversions, report.resumes);
  out += fmt::format(
      "between parts, ms: p50 {:.1f}  p95 {:.1f}  p99 {:.1f}  max {:.1f}\n",
      report.between_parts.p50, report.between_parts.p95,
      report.between_parts.p99, report.between_parts.max);
  out += fmt::format(
      "engines: {} requests, {} repeated, {} prompt tokens prefilled, {:.2f}% "
      "of them wasted\n",
      report.work.requests, report.work.repeated_ids,
      report.work.prefill_tokens, 100 * report.wasted_prefill_ratio);
  return out;
}

std::string FormatCsv(const Experiment& experiment, const LoadResult& result) {
  std::string out =
      "id,class,tier,rank,weight,intended_ms,sent_ms,first_part_ms,ended_ms,"
      "end,outcome,reason,version,attempts,resumes,parts,prompt_tokens,"
      "cached_tokens\n";
  for (const RequestRecord& each : result.records) {
    const RequestClass& of = experiment.classes[each.request_class];
    std::string reason = each.reason;
    std::replace(reason.begin(), reason.end(), ',', ';');
    fmt::format_to(std::back_inserter(out),
                   "{},{},{},{},{},{:.3f},{:.3f},{:.3f},{:.3f},{},{},{},{},{},"
                   "{},{},{},{}\n",
                   each.id, of.name, of.tier, of.rank, of.weight,
                   Milliseconds(each.intended), Milliseconds(each.sent),
                   Milliseconds(each.first_part), Milliseconds(each.ended),
                   RequestEndName(each.end), each.outcome, reason, each.version,
                   each.attempts, each.resumes, each.parts, each.prompt_tokens,
                   each.cached_tokens);
  }
  return out;
}

}  // namespace hornbeamcleat
