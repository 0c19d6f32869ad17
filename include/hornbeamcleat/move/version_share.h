#ifndef HORNBEAMCLEAT_MOVE_VERSION_SHARE_H_
#define HORNBEAMCLEAT_MOVE_VERSION_SHARE_H_

#include <cstdint>
#include <string>

namespace hornbeamcleat {

/// Share of a model's traffic that one move gives to the new version.
struct VersionShare {
  std::string model;
  std::string from_version;
  std::string to_version;
  int share_permille = 0;  ///< 0 to 1000
  /// Maximum number of requests in flight on the new version at one entry;
  /// 0 means no limit.
  int max_in_flight = 0;
  /// Maximum number of targets that serve the new version, the first by name
  /// among the live ones; 0 means all. Concentrating a small share on few
  /// targets exposes the version to full load before it gets full traffic.
  int max_targets = 0;

  bool operator==(const VersionShare&) const = default;
};

/// Whether a request goes to the new version. Depends only on its arguments, so
/// all entries agree without communication. A request that goes to the new
/// version at some share also does at every greater share.
/// @param request_hash hash of the request id
bool ChoosesNewVersion(const VersionShare& share, std::uint64_t request_hash);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_VERSION_SHARE_H_
