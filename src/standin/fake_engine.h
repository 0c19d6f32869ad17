#ifndef HORNBEAMCLEAT_SRC_STANDIN_FAKE_ENGINE_H_
#define HORNBEAMCLEAT_SRC_STANDIN_FAKE_ENGINE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/standin/engine_batch.h"
#include "src/standin/standin_loop.h"

namespace hornbeamcleat {

/// Settings of the fake engine.
struct FakeEngineSettings {
  EngineSpeed speed;
  std::string model = "assistant";
  std::string version = "v1";
  std::optional<Address> weight_store;
  bool checks_fencing = true;
  Duration load_lag = std::chrono::seconds(1);
  Duration event_lag = std::chrono::milliseconds(500);
  std::int64_t event_drop_every = 50;  ///< drops every n-th; 0: none
  Duration keep_ended = std::chrono::seconds(60);
  Duration keep_unread = std::chrono::seconds(10);
  std::uint64_t seed = 1;
  std::function<void()> crash;  ///< called on a crash marker
};

/// Creates a fake model engine with continuous batching and a prefix cache.
/// POST /faults injects faults. See docs/PROTOCOLS.md.
std::unique_ptr<Standin> MakeFakeEngine(const FakeEngineSettings& settings);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_FAKE_ENGINE_H_
