#ifndef HORNBEAMCLEAT_SRC_STANDIN_ENGINE_VERSIONS_H_
#define HORNBEAMCLEAT_SRC_STANDIN_ENGINE_VERSIONS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "src/standin/weight_fetcher.h"

namespace hornbeamcleat {

/// Versions a simulated engine has loaded, changed by orders.
class EngineVersions {
 public:
  /// @param store weight store; without one, loads end at once
  /// @param checks_fencing whether orders with an old number are refused
  EngineVersions(std::string model, std::string version,
                 std::optional<Address> store, bool checks_fencing);

  /// Begins to load what the JSON order names.
  /// @return false if its fencing number is old
  bool Load(std::string_view order);

  /// Unloads what the JSON order names; returns as Load.
  bool Unload(std::string_view order);

  /// Takes in finished loads.
  void Poll();

  /// Version that answers new requests, or empty if none is loaded.
  std::string Current() const;

  /// Body of GET /admin/state.
  std::string State() const;

 private:
  bool TakeFencing(std::uint64_t fencing);

  std::string model_;
  std::vector<std::string> loaded_;  ///< newest last
  std::map<std::string, std::unique_ptr<WeightFetcher>> loading_;
  std::optional<Address> store_;
  bool checks_fencing_;
  std::uint64_t highest_fencing_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_ENGINE_VERSIONS_H_
