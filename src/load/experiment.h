#ifndef HORNBEAMCLEAT_SRC_LOAD_EXPERIMENT_H_
#define HORNBEAMCLEAT_SRC_LOAD_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Requests of one kind: who sends them, with what worth and how often.
struct RequestClass {
  std::string name;
  std::string workspace;
  std::string application;
  std::string tier;
  int rank = 0;       ///< of the tier; lower is worth more
  double weight = 1;  ///< of a request in goodput
  double share = 1;   ///< of all arrivals, relative to other classes
  Duration deadline = std::chrono::seconds(30);
  std::string path = "/v1/chat/completions";
  std::string model;
  bool service = false;  ///< one-part answer with an idempotency key

  bool operator==(const RequestClass&) const = default;
};

/// When requests arrive: Poisson, with regular bursts on top.
struct ArrivalShape {
  double per_second = 10;
  double burst_factor = 1;             ///< rate during a burst, relative
  Duration burst_every = Duration(0);  ///< 0: no bursts
  Duration burst_length = Duration(0);

  bool operator==(const ArrivalShape&) const = default;
};

/// How long answers are: a truncated log-normal distribution of tokens.
struct LengthShape {
  double median_tokens = 40;
  double sigma = 1.2;  ///< of the natural logarithm
  std::int64_t min_tokens = 5;
  std::int64_t max_tokens = 500;

  bool operator==(const LengthShape&) const = default;
};

/// Prompts: a shared prefix, chosen by a Zipf law, and an own ending.
struct PromptShape {
  std::int64_t prefixes = 20;
  std::int64_t prefix_bytes = 1'024;
  std::int64_t own_bytes = 200;

  bool operator==(const PromptShape&) const = default;
};

/// Faults sent to an engine during the run.
struct FaultEvent {
  Duration at = Duration(0);
  std::int64_t engine = 0;  ///< index among the engines given to the run
  std::string faults;       ///< JSON body of POST /faults

  bool operator==(const FaultEvent&) const = default;
};

/// What callers do on a refusal that says "not run".
struct RetryShape {
  int max_retries = 0;  ///< after Retry-After has passed

  bool operator==(const RetryShape&) const = default;
};

/// Experiment: everything that a run depends on but addresses.
struct Experiment {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);  ///< of arrivals
  Duration drain = std::chrono::seconds(30);   ///< longest wait after them
  /// Time after a refusal within which a lower tier that is served counts as
  /// an inversion.
  Duration inversion_window = std::chrono::milliseconds(250);
  ArrivalShape arrivals;
  LengthShape lengths;
  PromptShape prompts;
  RetryShape retries;
  std::vector<RequestClass> classes;
  std::vector<FaultEvent> events;

  bool operator==(const Experiment&) const = default;
};

/// Parses an experiment file; see docs/LOAD.md for its members.
/// @throws Error with step "parse experiment" or "parse JSON"
Experiment ParseExperiment(std::string_view json);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LOAD_EXPERIMENT_H_
