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

/// Model versions loaded in a simulated engine, changed by load and unload
/// commands.
class EngineVersions {
 public:
  /// @param store weight store; without one, loads complete immediately
  /// @param checks_fencing whether commands with a stale fencing number
  ///                       are refused
  EngineVersions(std::string model, std::string version,
                 std::optional<Address> store, bool checks_fencing);

  /// Starts loading the version named in the JSON command.
  /// @return false if its fencing number is stale
  bool Load(std::string_view order);

  /// Unloads the version named in the JSON command.
  /// @return false if its fencing number is stale
  bool Unload(std::string_view order);

  /// Adds completed downloads to the loaded versions.
  void Poll();

  /// Version that serves new requests, or empty if none is loaded.
  std::string CurrentVersion() const;

  /// Body of GET /admin/state.
  std::string State() const;

 private:
  bool AcceptFencing(std::uint64_t fencing);

  std::string model_;
  std::vector<std::string> loaded_;  ///< newest last
  std::map<std::string, std::unique_ptr<WeightFetcher>> loading_;
  std::optional<Address> store_;
  bool checks_fencing_;
  std::uint64_t highest_fencing_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_ENGINE_VERSIONS_H_
