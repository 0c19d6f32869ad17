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

/// Part of a snapshot: a state that is appended to the log before the records
/// behind it expire. It is a record of type "Snapshot" in the configuration
/// stream; builds that don't know the type skip it.
struct SnapshotPart {
  std::string id;              ///< unique to the snapshot
  std::uint64_t revision = 0;  ///< of the state
  std::uint32_t index = 0;     ///< from 0
  std::uint32_t count = 0;
  std::string data;  ///< section of the encoded state

  bool operator==(const SnapshotPart&) const = default;
};

std::string EncodeSnapshotPart(const SnapshotPart& part);

/// Returns the part in a record, or nullopt if the record is of another type.
/// @throws Error with step "decode" on a malformed part
std::optional<SnapshotPart> DecodeSnapshotPart(std::string_view bytes);

/// Splits `state`, an encoded state, into parts of at most `part_bytes` each.
std::vector<SnapshotPart> SplitSnapshot(const std::string& id,
                                        std::uint64_t revision,
                                        const std::string& state,
                                        std::size_t part_bytes);

/// Snapshot of which all parts have been read.
struct CompleteSnapshot {
  std::uint64_t revision = 0;
  WallTime logged;    ///< log time of the first part read
  std::string state;  ///< encoded

  bool operator==(const CompleteSnapshot&) const = default;
};

/// Assembles snapshots from parts that may be interleaved.
class SnapshotAssembler {
 public:
  /// Adds a part.
  /// @return the snapshot if it is now complete
  std::optional<CompleteSnapshot> Add(const SnapshotPart& part,
                                      WallTime logged);

  void Clear() { partial_snapshots_.clear(); }

 private:
  struct PartialSnapshot {
    std::string id;
    std::uint64_t revision = 0;
    WallTime logged;
    std::uint32_t parts = 0;
    std::size_t bytes = 0;
    std::map<std::uint32_t, std::string> data;
  };

  std::deque<PartialSnapshot> partial_snapshots_;  // oldest first
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONFIG_SNAPSHOT_RECORD_H_
