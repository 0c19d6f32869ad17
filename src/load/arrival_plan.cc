#include "src/load/arrival_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace hornbeamcleat {
namespace {

// Rate at `at`, relative to the base rate.
double RateFactor(const ArrivalShape& shape, Duration at) {
  if (shape.burst_every == Duration(0)) {
    return 1;
  }
  return at % shape.burst_every < shape.burst_length ? shape.burst_factor : 1;
}

class Planner {
 public:
  explicit Planner(const Experiment& experiment)
      : experiment_(experiment), random_(experiment.seed) {
    std::vector<double> shares;
    for (const RequestClass& each : experiment.classes) {
      shares.push_back(each.share);
    }
    classes_ =
        std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    std::vector<double> zipf;
    for (std::int64_t n = 1; n <= experiment.prompts.prefixes; ++n) {
      zipf.push_back(1.0 / static_cast<double>(n));
    }
    prefixes_ =
        std::discrete_distribution<std::int64_t>(zipf.begin(), zipf.end());
  }

  // A Poisson process of varying rate, by thinning one of the highest rate.
  std::vector<PlannedRequest> Plan() {
    const ArrivalShape& shape = experiment_.arrivals;
    const double peak = std::max(1.0, shape.burst_factor);
    std::exponential_distribution<double> gap(shape.per_second * peak);
    std::uniform_real_distribution<double> uniform(0, peak);
    std::vector<PlannedRequest> out;
    Duration at = FromSeconds(gap(random_));
    while (at < experiment_.length) {
      if (uniform(random_) < RateFactor(shape, at)) {
        out.push_back(Draw(at, out.size()));
      }
      at += FromSeconds(gap(random_));
    }
    return out;
  }

 private:
  PlannedRequest Draw(Duration at, std::size_t n) {
    const LengthShape& lengths = experiment_.lengths;
    std::lognormal_distribution<double> tokens(std::log(lengths.median_tokens),
                                               lengths.sigma);
    std::exponential_distribution<double> own(
        1.0 / static_cast<double>(experiment_.prompts.own_bytes));
    PlannedRequest out;
    out.id = fmt::format("load-{}-{}", experiment_.seed, n);
    out.at = at;
    out.request_class = classes_(random_);
    out.max_tokens = std::clamp(static_cast<std::int64_t>(tokens(random_)),
                                lengths.min_tokens, lengths.max_tokens);
    out.prefix = prefixes_(random_);
    out.prompt_bytes = experiment_.prompts.prefix_bytes + 1 +
                       static_cast<std::int64_t>(own(random_));
    return out;
  }

  const Experiment& experiment_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> classes_;
  std::discrete_distribution<std::int64_t> prefixes_;
};

// `bytes` characters that differ between texts of different `seed`.
std::string Filler(const std::string& seed, std::int64_t bytes) {
  std::string out;
  const std::size_t size = static_cast<std::size_t>(bytes);
  while (out.size() < size) {
    out += seed;
    out += ' ';
  }
  out.resize(size);
  return out;
}

}  // namespace

std::vector<PlannedRequest> PlanArrivals(const Experiment& experiment) {
  return Planner(experiment).Plan();
}

std::string PromptText(const PlannedRequest& request,
                       const PromptShape& shape) {
  return Filler(fmt::format("prefix {}", request.prefix), shape.prefix_bytes) +
         Filler(request.id, request.prompt_bytes - shape.prefix_bytes);
}

}  // namespace hornbeamcleat
