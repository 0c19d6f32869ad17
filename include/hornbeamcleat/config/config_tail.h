#ifndef HORNBEAMCLEAT_CONFIG_CONFIG_TAIL_H_
#define HORNBEAMCLEAT_CONFIG_CONFIG_TAIL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/platform/log_service.h"

namespace hornbeamcleat {

/// Settings of a configuration tail; must be the same on all members.
struct ConfigTailOptions {
  /// Age of the newest snapshot at which the next one is due. Must be well
  /// below the log's retention.
  Duration snapshot_period = std::chrono::hours(1);
  /// Members delay their snapshots by up to this time, so that most of them
  /// read another member's snapshot before their own is due.
  Duration snapshot_jitter = std::chrono::minutes(1);
  std::size_t part_bytes = 32 * 1024;  ///< of encoded state per record

  bool operator==(const ConfigTailOptions&) const = default;
};

/// Change of a resource or of a move's progress, reported to watches.
struct ConfigChange {
  bool deleted = false;
  std::uint64_t revision = 0;
  std::string kind;
  std::string name;

  bool operator==(const ConfigChange&) const = default;
};

/// Result of folding one record.
struct FoldedRecord {
  std::uint64_t offset = 0;
  FoldResult result = FoldResult::kInvalid;
  std::string writer;  ///< tag of the append; may be empty

  bool operator==(const FoldedRecord&) const = default;
};

/// Effect of a read or of a peer's state.
struct ConfigUpdate {
  bool published = false;  ///< Current() is a new state
  /// The changes since the previous state are unknown; watches must list again.
  bool reset = false;
  std::vector<ConfigChange> changes;  ///< by revision
  std::vector<FoldedRecord> folded;   ///< one per record read

  bool operator==(const ConfigUpdate&) const = default;
};

/// Follows the configuration stream: folds records, loads snapshots, adopts
/// newer states from peers and determines when a snapshot is due. The revision
/// of Current() never decreases. Performs no I/O; not thread-safe.
class ConfigTail {
 public:
  /// @param writer name and incarnation of this member
  static std::unique_ptr<ConfigTail> Make(const std::string& writer,
                                          const ConfigTailOptions& options);

  virtual ~ConfigTail() = default;

  /// Processes the result of a read that started at NextOffset().
  virtual ConfigUpdate OnRead(const LogRead& read) = 0;

  /// Adopts a peer's state if its revision is higher.
  virtual ConfigUpdate OnPeerState(const ConfigState& state) = 0;

  /// Returns the current state, or null until a complete one is known.
  virtual std::shared_ptr<const ConfigState> Current() const = 0;

  /// Offset from which to read next. It may decrease when a snapshot or a
  /// peer's state is loaded.
  virtual std::uint64_t NextOffset() const = 0;

  /// Whether records expired before they were read. Current() doesn't change
  /// until a snapshot or a peer's state closes the gap.
  virtual bool HasGap() const = 0;

  /// Whether this member should append a snapshot now.
  virtual bool SnapshotDue(WallTime wall) = 0;

  /// Returns the records of a snapshot of Current(), to be appended in order.
  /// Empty if there is no state.
  virtual std::vector<std::string> MakeSnapshot(WallTime wall) = 0;

  /// Returns a new tag for the `writer` field of a record.
  virtual std::string NextWriterTag() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_CONFIG_CONFIG_TAIL_H_
