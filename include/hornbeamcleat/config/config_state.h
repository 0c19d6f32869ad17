#ifndef HORNBEAMCLEAT_CONFIG_CONFIG_STATE_H_
#define HORNBEAMCLEAT_CONFIG_CONFIG_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "hornbeamcleat/config/resource.h"

namespace hornbeamcleat {

/// Record that creates or replaces a resource.
struct PutRecord {
  Resource resource;
  /// Version that the writer read; 0 means that the resource must not exist.
  /// The record has no effect if the version differs when the record is folded.
  std::uint64_t expected_version = 0;
  /// Tag unique to this append, by which the writer finds its record if the
  /// response to the append was lost; may be empty.
  std::string writer = {};

  bool operator==(const PutRecord&) const = default;
};

/// Record that deletes a resource, under the same condition as PutRecord.
struct DeleteRecord {
  std::string kind;
  std::string name;
  std::uint64_t expected_version = 0;
  std::string writer = {};  ///< as in PutRecord

  bool operator==(const DeleteRecord&) const = default;
};

/// Record that withdraws a version from service permanently.
struct WithdrawRecord {
  std::string model;
  std::string version;
  std::string reason;

  bool operator==(const WithdrawRecord&) const = default;
};

/// Record of the progress of a move, written by the holder of the move's lease.
struct MoveProgressRecord {
  std::string move;
  std::uint64_t fencing = 0;  ///< fencing token of the writer's lease
  int share_permille = 0;
  std::string phase;  ///< as returned by MovePhaseName
  WallTime since;     ///< when the writer saw this share take effect
  std::string reason;

  bool operator==(const MoveProgressRecord&) const = default;
};

using ConfigRecord =
    std::variant<PutRecord, DeleteRecord, WithdrawRecord, MoveProgressRecord>;

/// Result of folding a record into the state.
enum class FoldResult {
  kApplied,
  kConflict,  ///< the expected version did not match
  kInvalid,   ///< skipped by every member
  kStale,     ///< offset already folded, or an older fencing token
};

/// Kind and name of a resource.
using ResourceKey = std::pair<std::string, std::string>;

/// State folded from the configuration stream. The same records in the same
/// order produce equal states on every VM. Share it as
/// shared_ptr<const ConfigState>.
struct ConfigState {
  std::uint64_t revision = 0;  ///< offset of the last record folded
  std::map<ResourceKey, Resource> resources;
  /// Maps (model, version) to the reason.
  std::map<std::pair<std::string, std::string>, std::string> withdrawn;
  std::map<std::string, MoveProgressRecord> moves;
  /// Maps a model to the version that serves it when no move is active: the
  /// destination of its last completed move, or the first Version declared.
  std::map<std::string, std::string> serving;

  bool operator==(const ConfigState&) const = default;

  /// Returns the resource, or nullptr if there is none.
  const Resource* Find(const std::string& kind, const std::string& name) const;
};

/// Folds the record at `offset` into `state`. Deterministic.
FoldResult Fold(const ConfigRecord& record, std::uint64_t offset,
                ConfigState* state);

/// Encodes and decodes records and states for the log and for peers. Decoding
/// throws Error with step "decode" on malformed or oversized input; its memory
/// use is proportional to the size of the input. A decoded state omits
/// resources of kinds unknown to this build.
std::string EncodeRecord(const ConfigRecord& record);
ConfigRecord DecodeRecord(std::string_view bytes);
std::string EncodeState(const ConfigState& state);
ConfigState DecodeState(std::string_view bytes);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_CONFIG_CONFIG_STATE_H_
