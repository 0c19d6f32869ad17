#include "hornbeamcleat/config/config_state.h"

#include <fmt/format.h>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/config/resource_json.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr char kStep[] = "decode";
constexpr std::size_t kMaxRecordBytes = 2 * kMaxResourceBytes;
constexpr std::size_t kMaxStateBytes = 256 * 1024 * 1024;
constexpr char kDonePhase[] = "Done";
constexpr char kRolledBackPhase[] = "RolledBack";

std::uint64_t VersionOf(const ConfigState& state, const ResourceKey& key) {
  const Resource* found = state.Find(key.first, key.second);
  return found == nullptr ? 0 : found->version;
}

bool IsValidResource(const Resource& resource) {
  try {
    ValidateResource(resource);
    return true;
  } catch (const Error&) {
    return false;
  }
}

// Whether an earlier move withdrew the version to which this move leads. It can
// only be rolled out again under a new Version resource.
bool IsWithdrawn(const ConfigState& state, const Resource& resource) {
  const MoveSpec* move = std::get_if<MoveSpec>(&resource.spec);
  return move != nullptr &&
         state.withdrawn.contains({move->model, move->to_version});
}

struct RecordFolder {
  std::uint64_t offset;
  ConfigState* state;

  FoldResult operator()(const PutRecord& record) const {
    const ResourceKey key = {KindName(record.resource.spec),
                             record.resource.name};
    if (!IsValidResource(record.resource) ||
        IsWithdrawn(*state, record.resource)) {
      return FoldResult::kInvalid;
    }
    if (VersionOf(*state, key) != record.expected_version) {
      return FoldResult::kConflict;
    }
    Resource resource = record.resource;
    resource.version = offset;
    if (std::holds_alternative<MoveSpec>(resource.spec)) {
      state->moves.erase(resource.name);
    }
    if (const VersionSpec* version = std::get_if<VersionSpec>(&resource.spec)) {
      state->serving.emplace(version->model, resource.name);
    }
    state->resources[key] = resource;
    return FoldResult::kApplied;
  }

  FoldResult operator()(const DeleteRecord& record) const {
    const ResourceKey key = {record.kind, record.name};
    const std::uint64_t version = VersionOf(*state, key);
    if (version == 0 || version != record.expected_version) {
      return FoldResult::kConflict;
    }
    state->resources.erase(key);
    if (record.kind == KindName(MoveSpec{})) {
      state->moves.erase(record.name);
    }
    return FoldResult::kApplied;
  }

  FoldResult operator()(const WithdrawRecord& record) const {
    const bool added =
        state->withdrawn
            .emplace(std::make_pair(record.model, record.version),
                     record.reason)
            .second;
    return added ? FoldResult::kApplied : FoldResult::kStale;
  }

  FoldResult operator()(const MoveProgressRecord& record) const {
    const Resource* move = state->Find(KindName(MoveSpec{}), record.move);
    if (move == nullptr) {
      return FoldResult::kInvalid;
    }
    const std::map<std::string, MoveProgressRecord>::const_iterator it =
        state->moves.find(record.move);
    if (it != state->moves.end()) {
      const bool ended = it->second.phase == kDonePhase ||
                         it->second.phase == kRolledBackPhase;
      if (ended || record.fencing < it->second.fencing) {
        return FoldResult::kStale;
      }
    }
    const MoveSpec& spec = std::get<MoveSpec>(move->spec);
    const bool withdrawn =
        state->withdrawn.contains({spec.model, spec.to_version});
    if (withdrawn && record.phase != kRolledBackPhase) {
      return FoldResult::kInvalid;
    }
    state->moves[record.move] = record;
    if (record.phase == kDonePhase) {
      state->serving[spec.model] = spec.to_version;
    }
    return FoldResult::kApplied;
  }
};

SerializationInfo ResourceToJson(const Resource& resource) {
  return ParseJson(FormatResource(resource), kMaxRecordBytes);
}

SerializationInfo ProgressToJson(const MoveProgressRecord& record) {
  SerializationInfo value;
  value.addValue("type", std::string("MoveProgress"));
  value.addValue("move", record.move);
  value.addValue("fencing", record.fencing);
  value.addValue("sharePermille", record.share_permille);
  value.addValue("phase", record.phase);
  value.addValue("sinceUnixMs", static_cast<std::int64_t>(
                                    record.since.time_since_epoch().count()));
  value.addValue("reason", record.reason);
  return value;
}

SerializationInfo WithdrawToJson(const WithdrawRecord& record) {
  SerializationInfo value;
  value.addValue("type", std::string("Withdraw"));
  value.addValue("model", record.model);
  value.addValue("version", record.version);
  value.addValue("reason", record.reason);
  return value;
}

struct RecordFormatter {
  SerializationInfo operator()(const PutRecord& record) const {
    SerializationInfo value;
    value.addValue("type", std::string("Put"));
    value.addValue("expectedVersion", record.expected_version);
    value.addValue("writer", record.writer);
    SerializationInfo& member = value.addMember("resource");
    member = ResourceToJson(record.resource);
    member.setName("resource");
    return value;
  }
  SerializationInfo operator()(const DeleteRecord& record) const {
    SerializationInfo value;
    value.addValue("type", std::string("Delete"));
    value.addValue("kind", record.kind);
    value.addValue("name", record.name);
    value.addValue("expectedVersion", record.expected_version);
    value.addValue("writer", record.writer);
    return value;
  }
  SerializationInfo operator()(const WithdrawRecord& record) const {
    return WithdrawToJson(record);
  }
  SerializationInfo operator()(const MoveProgressRecord& record) const {
    return ProgressToJson(record);
  }
};

MoveProgressRecord ParseProgress(const SerializationInfo& value) {
  return {RequiredJsonMember<std::string>(value, "move"),
          RequiredJsonMember<std::uint64_t>(value, "fencing"),
          RequiredJsonMember<int>(value, "sharePermille"),
          RequiredJsonMember<std::string>(value, "phase"),
          WallTime(std::chrono::milliseconds(
              JsonMember<std::int64_t>(value, "sinceUnixMs", 0))),
          JsonMember<std::string>(value, "reason", "")};
}

WithdrawRecord ParseWithdraw(const SerializationInfo& value) {
  return {RequiredJsonMember<std::string>(value, "model"),
          RequiredJsonMember<std::string>(value, "version"),
          JsonMember<std::string>(value, "reason", "")};
}

ConfigRecord ParseRecord(const SerializationInfo& value) {
  const std::string type = RequiredJsonMember<std::string>(value, "type");
  if (type == "Put") {
    const SerializationInfo* resource = value.findMember("resource");
    if (resource == nullptr) {
      throw Error(kStep, "", "member 'resource' is missing");
    }
    return PutRecord{
        ParseResource(FormatJson(*resource)),
        RequiredJsonMember<std::uint64_t>(value, "expectedVersion"),
        JsonMember<std::string>(value, "writer", "")};
  }
  if (type == "Delete") {
    return DeleteRecord{
        RequiredJsonMember<std::string>(value, "kind"),
        RequiredJsonMember<std::string>(value, "name"),
        RequiredJsonMember<std::uint64_t>(value, "expectedVersion"),
        JsonMember<std::string>(value, "writer", "")};
  }
  if (type == "Withdraw") {
    return ParseWithdraw(value);
  }
  if (type == "MoveProgress") {
    return ParseProgress(value);
  }
  throw Error(kStep, "", fmt::format("unknown record type '{}'", type));
}

const SerializationInfo& RequiredArray(const SerializationInfo& parent,
                                       const std::string& name) {
  const SerializationInfo* member = parent.findMember(name);
  if (member == nullptr) {
    throw Error(kStep, "", fmt::format("array '{}' is missing", name));
  }
  return *member;
}

SerializationInfo& AddArray(SerializationInfo* parent,
                            const std::string& name) {
  SerializationInfo& array = parent->addMember(name);
  array.setCategory(SerializationInfo::Array);
  return array;
}

}  // namespace

const Resource* ConfigState::Find(const std::string& kind,
                                  const std::string& name) const {
  const std::map<ResourceKey, Resource>::const_iterator it =
      resources.find({kind, name});
  return it == resources.end() ? nullptr : &it->second;
}

FoldResult Fold(const ConfigRecord& record, std::uint64_t offset,
                ConfigState* state) {
  if (offset <= state->revision) {
    return FoldResult::kStale;
  }
  state->revision = offset;
  return std::visit(RecordFolder{offset, state}, record);
}

std::string EncodeRecord(const ConfigRecord& record) {
  return FormatJson(std::visit(RecordFormatter{}, record));
}

ConfigRecord DecodeRecord(std::string_view bytes) {
  try {
    return ParseRecord(ParseJson(bytes, kMaxRecordBytes));
  } catch (const Error& e) {
    throw Error(kStep, "", e.what());
  }
}

std::string EncodeState(const ConfigState& state) {
  SerializationInfo value;
  value.addValue("revision", state.revision);
  SerializationInfo& resources = AddArray(&value, "resources");
  for (const std::pair<const ResourceKey, Resource>& entry : state.resources) {
    resources.addMember() = ResourceToJson(entry.second);
  }
  SerializationInfo& withdrawn = AddArray(&value, "withdrawn");
  for (const auto& [key, reason] : state.withdrawn) {
    withdrawn.addMember() = WithdrawToJson({key.first, key.second, reason});
  }
  SerializationInfo& moves = AddArray(&value, "moves");
  for (const auto& [name, record] : state.moves) {
    moves.addMember() = ProgressToJson(record);
  }
  SerializationInfo& serving = value.addMember("serving");
  serving.setCategory(SerializationInfo::Object);
  for (const auto& [model, version] : state.serving) {
    serving.addValue(model, version);
  }
  return FormatJson(value);
}

ConfigState DecodeState(std::string_view bytes) {
  try {
    const SerializationInfo value = ParseJson(bytes, kMaxStateBytes);
    ConfigState state;
    state.revision = RequiredJsonMember<std::uint64_t>(value, "revision");
    for (const SerializationInfo& entry : RequiredArray(value, "resources")) {
      if (!IsKnownKind(RequiredJsonMember<std::string>(entry, "kind"))) {
        continue;
      }
      const Resource resource = ParseResource(FormatJson(entry));
      state.resources[{KindName(resource.spec), resource.name}] = resource;
    }
    for (const SerializationInfo& entry : RequiredArray(value, "withdrawn")) {
      const WithdrawRecord record = ParseWithdraw(entry);
      state.withdrawn[{record.model, record.version}] = record.reason;
    }
    for (const SerializationInfo& entry : RequiredArray(value, "moves")) {
      const MoveProgressRecord record = ParseProgress(entry);
      state.moves[record.move] = record;
    }
    for (const SerializationInfo& entry : RequiredArray(value, "serving")) {
      entry.getValue(state.serving[entry.name()]);
    }
    return state;
  } catch (const Error& e) {
    throw Error(kStep, "", e.what());
  }
}

}  // namespace hornbeamcleat
