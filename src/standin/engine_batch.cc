#include "src/standin/engine_batch.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

constexpr std::int64_t kTokensPerBlock = 16;

}  // namespace

std::int64_t EngineBatch::Admit(const EngineJob& job) {
  const std::int64_t cached = std::min(
      static_cast<std::int64_t>(cache_.Match(job.blocks)) * kTokensPerBlock,
      job.prompt_tokens);
  prefilling_.push_back({job, job.prompt_tokens - cached, 0});
  return cached;
}

std::int64_t EngineBatch::Cancel(const std::string& id) {
  const auto waiting =
      std::find_if(prefilling_.begin(), prefilling_.end(),
                   [&id](const Prefill& each) { return each.job.id == id; });
  if (waiting != prefilling_.end()) {
    const std::int64_t spent = waiting->spent;
    prefilling_.erase(waiting);
    return spent;
  }
  const auto running = decoding_.find(id);
  if (running == decoding_.end()) {
    return 0;
  }
  const std::int64_t spent = running->second.prefilled;
  decoding_.erase(running);
  return spent;
}

Duration EngineBatch::Step(std::vector<EngineToken>* tokens) {
  if (decoding_.empty() && prefilling_.empty()) {
    return Duration(0);
  }
  Duration length =
      speed_.step +
      speed_.step_per_stream * static_cast<std::int64_t>(decoding_.size());
  for (auto it = decoding_.begin(); it != decoding_.end();) {
    Decode& each = it->second;
    const bool last = each.next >= each.max;
    tokens->push_back({it->first, each.next++, last});
    it = last ? decoding_.erase(it) : std::next(it);
  }
  length += FromSeconds(static_cast<double>(PrefillChunk()) /
                        speed_.prefill_tokens_per_second);
  return length;
}

// Jobs whose prefill ends in this chunk start to decode in the next step.
std::int64_t EngineBatch::PrefillChunk() {
  std::int64_t budget = speed_.prefill_tokens_per_step;
  std::size_t ended = 0;
  for (Prefill& each : prefilling_) {
    const std::int64_t n = std::min(budget, each.left);
    each.left -= n;
    each.spent += n;
    budget -= n;
    if (each.left > 0) {
      break;
    }
    cache_.Store(each.job.blocks);
    decoding_[each.job.id] = {1, each.job.max_tokens, each.spent};
    ++ended;
  }
  prefilling_.erase(prefilling_.begin(),
                    prefilling_.begin() + static_cast<std::ptrdiff_t>(ended));
  return speed_.prefill_tokens_per_step - budget;
}

}  // namespace hornbeamcleat
