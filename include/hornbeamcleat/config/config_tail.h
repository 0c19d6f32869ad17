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

/// Tunables of a configuration tail; the same on all members.
struct ConfigTailOptions {
  /// Age of the newest snapshot at which another is due; well below the log's
  /// retention.
  Duration snapshot_period = std::chrono::hours(1);
  /// Members spread their snapshots over this time, so that most see another's
  /// before their own is due.
  Duration snapshot_spread = std::chrono::minutes(1);
  std::size_t part_bytes = 32 * 1024;  ///< of the state in one record

  bool operator==(const ConfigTailOptions&) const = default;
};

/// Change of one resource or of a move's progress, for watches.
struct ConfigChange {
  bool deleted = false;
  std::uint64_t revision = 0;
  std::string kind;
  std::string name;

  bool operator==(const ConfigChange&) const = default;
};

/// What became of one record.
struct FoldedRecord {
  std::uint64_t offset = 0;
  FoldResult result = FoldResult::kInvalid;
  std::string writer;  ///< tag of the append; may be empty

  bool operator==(const FoldedRecord&) const = default;
};

/// What a read or a peer's state brought.
struct ConfigUpdate {
  bool published = false;  ///< Current() is a new state
  /// The changes that led to it are not known; watches must list anew.
  bool reset = false;
  std::vector<ConfigChange> changes;  ///< in order of revisions
  std::vector<FoldedRecord> folded;   ///< outcome of each record read

  bool operator==(const ConfigUpdate&) const = default;
};

/// Follows the configuration stream: folds records, loads snapshots, takes
/// newer states from peers and says when a snapshot is due. The state it gives
/// never goes back. Has no I/O; not thread-safe.
class ConfigTail {
 public:
  /// @param writer this member's name and incarnation
  static std::unique_ptr<ConfigTail> Make(const std::string& writer,
                                          const ConfigTailOptions& options);

  virtual ~ConfigTail() = default;

  /// Takes the answer to a read that began at NextOffset().
  virtual ConfigUpdate OnRead(const LogRead& read) = 0;

  /// Takes a peer's state if its revision is higher.
  virtual ConfigUpdate OnPeerState(const ConfigState& state) = 0;

  /// State in force; null until the first whole one.
  virtual std::shared_ptr<const ConfigState> Current() const = 0;

  /// Offset from which to read next; it may go back when a snapshot or a
  /// peer's state was loaded.
  virtual std::uint64_t NextOffset() const = 0;

  /// Whether records expired before they were read. Until a snapshot or a
  /// peer's state closes the gap, Current() stays as it was.
  virtual bool HasGap() const = 0;

  /// Whether this member should append a snapshot now.
  virtual bool SnapshotDue(WallTime wall) = 0;

  /// Records of a snapshot of Current(), to be appended in order. None if
  /// there is no state.
  virtual std::vector<std::string> MakeSnapshot(WallTime wall) = 0;

  /// New tag for the `writer` member of a record.
  virtual std::string NextWriterTag() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_CONFIG_CONFIG_TAIL_H_
