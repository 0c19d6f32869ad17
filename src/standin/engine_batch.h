#ifndef HORNBEAMCLEAT_SRC_STANDIN_ENGINE_BATCH_H_
#define HORNBEAMCLEAT_SRC_STANDIN_ENGINE_BATCH_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "src/standin/prefix_cache.h"

namespace hornbeamcleat {

/// Speed and memory of a simulated engine.
struct EngineSpeed {
  double prefill_tokens_per_second = 20'000;
  Duration step = std::chrono::milliseconds(15);  ///< decode step, empty batch
  Duration step_per_stream = Duration(300);       ///< added by each stream
  std::int64_t prefill_tokens_per_step = 1'024;   ///< chunk of prefill in one
  std::int64_t cache_blocks = 8'192;

  bool operator==(const EngineSpeed&) const = default;
};

/// Request as an engine runs it.
struct EngineJob {
  std::string id;
  std::vector<std::uint64_t> blocks;  ///< of the prompt
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;  ///< tokens that it will generate, > 0

  bool operator==(const EngineJob&) const = default;
};

/// One token that a step generated.
struct EngineToken {
  std::string id;
  std::int64_t index = 0;  ///< from 1
  bool last = false;

  bool operator==(const EngineToken&) const = default;
};

/// Continuous batching: each step prefills a chunk of the oldest prompts and
/// generates one token for every prompt prefilled before it. All jobs are
/// admitted as they arrive. Virtual time: a step says how long it takes.
class EngineBatch {
 public:
  explicit EngineBatch(const EngineSpeed& speed)
      : speed_(speed), cache_(static_cast<std::size_t>(speed.cache_blocks)) {}

  /// Takes a job; its id must not be running.
  /// @return tokens of its prompt found in the cache
  std::int64_t Admit(const EngineJob& job);

  /// Ends a job early. Unknown ids are ignored.
  /// @return prompt tokens prefilled for it
  std::int64_t Cancel(const std::string& id);

  /// Runs one step.
  /// @param tokens takes what the step generated, at its end
  /// @return length of the step; 0 if nothing runs
  Duration Step(std::vector<EngineToken>* tokens);

  /// Jobs that generate, and jobs that wait for prefill.
  std::size_t Running() const { return decoding_.size(); }
  std::size_t Waiting() const { return prefilling_.size(); }

  PrefixCache& Cache() { return cache_; }

 private:
  struct Prefill {
    EngineJob job;
    std::int64_t left = 0;   ///< tokens to prefill
    std::int64_t spent = 0;  ///< tokens prefilled
  };
  struct Decode {
    std::int64_t next = 1;
    std::int64_t max = 0;
    std::int64_t prefilled = 0;
  };

  std::int64_t PrefillChunk();

  EngineSpeed speed_;
  PrefixCache cache_;
  std::vector<Prefill> prefilling_;  ///< oldest first
  std::map<std::string, Decode> decoding_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_ENGINE_BATCH_H_
