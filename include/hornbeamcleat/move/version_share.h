#ifndef HORNBEAMCLEAT_MOVE_VERSION_SHARE_H_
#define HORNBEAMCLEAT_MOVE_VERSION_SHARE_H_

#include <cstdint>
#include <string>

namespace hornbeamcleat {

/// Share of a model's traffic that a new version gets, as one move has it.
struct VersionShare {
  std::string model;
  std::string from_version;
  std::string to_version;
  int share_permille = 0;  ///< 0 to 1000
  /// Greatest number of requests in flight on the new version at one entry;
  /// 0 means no cap.
  int max_in_flight = 0;
  /// Greatest number of targets that take the new version's requests, first by
  /// name among the live ones; 0 means all. Keeping a small share on few
  /// targets is how a version meets full load before it gets full traffic.
  int max_targets = 0;

  bool operator==(const VersionShare&) const = default;
};

/// Whether a request goes to the new version. Depends only on its arguments,
/// so every entry decides alike without a message; a request that goes to the
/// new version at some share still does at each greater one.
/// @param request_hash hash of the request id
bool ChoosesNewVersion(const VersionShare& share, std::uint64_t request_hash);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_VERSION_SHARE_H_
