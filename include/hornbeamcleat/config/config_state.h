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
  /// Version the writer saw; 0 means it must not exist. The record has no
  /// effect if the resource's version differs when the record is folded.
  std::uint64_t expected_version = 0;
  /// Tag unique to this append, by which its writer finds the record when the
  /// append's answer was lost; may be empty.
  std::string writer = {};

  bool operator==(const PutRecord&) const = default;
};

/// Record that removes a resource, under the same condition.
struct DeleteRecord {
  std::string kind;
  std::string name;
  std::uint64_t expected_version = 0;
  std::string writer = {};  ///< as in PutRecord

  bool operator==(const DeleteRecord&) const = default;
};

/// Record of a version withdrawn from service; never undone for this version.
struct WithdrawRecord {
  std::string model;
  std::string version;
  std::string reason;

  bool operator==(const WithdrawRecord&) const = default;
};

/// Record of a move's progress, written by the holder of its lease.
struct MoveProgressRecord {
  std::string move;
  std::uint64_t fencing = 0;  ///< the writer's lease number
  int share_permille = 0;
  std::string phase;  ///< as MovePhaseName gives it
  WallTime since;     ///< when the writer saw this share come into force
  std::string reason;

  bool operator==(const MoveProgressRecord&) const = default;
};

using ConfigRecord =
    std::variant<PutRecord, DeleteRecord, WithdrawRecord, MoveProgressRecord>;

/// What became of a record when it was folded.
enum class FoldResult {
  kApplied,
  kConflict,  ///< the expected version did not match
  kInvalid,   ///< skipped by all alike
  kStale,     ///< offset already folded, or an older fencing number
};

/// Key of a resource: kind and name.
using ResourceKey = std::pair<std::string, std::string>;

/// State folded from the configuration stream. A plain value: equal records
/// in equal order give equal states on every VM. Share it as
/// shared_ptr<const ConfigState>.
struct ConfigState {
  std::uint64_t revision = 0;  ///< offset of the last record taken in
  std::map<ResourceKey, Resource> resources;
  /// (model, version) to reason.
  std::map<std::pair<std::string, std::string>, std::string> withdrawn;
  std::map<std::string, MoveProgressRecord> moves;
  /// Model to the version that serves it outside of moves: the first Version
  /// declared for it, then the one that the last finished move led to.
  std::map<std::string, std::string> serving;

  bool operator==(const ConfigState&) const = default;

  /// The resource, or nullptr.
  const Resource* Find(const std::string& kind, const std::string& name) const;
};

/// Folds one record at `offset` into `state`. Deterministic.
FoldResult Fold(const ConfigRecord& record, std::uint64_t offset,
                ConfigState* state);

/// Bytes of a record or state for the log and for peers. Decoding throws
/// Error with step "decode" on malformed or oversized input, without
/// allocating more than the input's size warrants. Resources of kinds unknown
/// to this build are left out of a decoded state.
std::string EncodeRecord(const ConfigRecord& record);
ConfigRecord DecodeRecord(std::string_view bytes);
std::string EncodeState(const ConfigState& state);
ConfigState DecodeState(std::string_view bytes);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_CONFIG_CONFIG_STATE_H_
