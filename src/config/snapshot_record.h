#ifndef HORNBEAMCLEAT_SRC_CONFIG_SNAPSHOT_RECORD_H_
#define HORNBEAMCLEAT_SRC_CONFIG_SNAPSHOT_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// One part of a state that was appended again before its records expire. A
/// record of type "Snapshot" in the configuration stream; builds that do not
/// know the type skip it.
struct SnapshotPart {
  std::string id;              ///< unique to the snapshot
  std::uint64_t revision = 0;  ///< of the state
  std::uint32_t part = 0;      ///< from 0
  std::uint32_t parts = 0;
  std::string data;  ///< piece of the encoded state

  bool operator==(const SnapshotPart&) const = default;
};

std::string EncodeSnapshotPart(const SnapshotPart& part);

/// Part in a record, or nothing if it is of another type.
/// @throws Error with step "decode" on a malformed part
std::optional<SnapshotPart> DecodeSnapshotPart(std::string_view bytes);

/// Parts of `state`, an encoded state, of at most `part_bytes` each.
std::vector<SnapshotPart> SplitSnapshot(const std::string& id,
                                        std::uint64_t revision,
                                        const std::string& state,
                                        std::size_t part_bytes);

/// Snapshot all of whose parts were read.
struct WholeSnapshot {
  std::uint64_t revision = 0;
  WallTime logged;    ///< when its first part was taken by the log
  std::string state;  ///< encoded

  bool operator==(const WholeSnapshot&) const = default;
};

/// Puts snapshots together from parts that may be interleaved.
class SnapshotAssembler {
 public:
  /// Takes a part.
  /// @return the snapshot if this was its last missing part
  std::optional<WholeSnapshot> Add(const SnapshotPart& part, WallTime logged);

  void Clear() { unfinished_.clear(); }

 private:
  struct Unfinished {
    std::string id;
    std::uint64_t revision = 0;
    WallTime logged;
    std::uint32_t parts = 0;
    std::size_t bytes = 0;
    std::map<std::uint32_t, std::string> data;
  };

  std::deque<Unfinished> unfinished_;  // oldest first
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONFIG_SNAPSHOT_RECORD_H_
