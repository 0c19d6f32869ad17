#include "src/config/snapshot_record.h"

#include <algorithm>

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr char kSnapshotType[] = "Snapshot";
constexpr std::size_t kMaxPartBytes = 1024 * 1024;
constexpr std::size_t kMaxSnapshotBytes = 64 * 1024 * 1024;
constexpr std::uint32_t kMaxParts = 16'384;
constexpr std::size_t kMaxPartialSnapshots = 4;

}  // namespace

std::string EncodeSnapshotPart(const SnapshotPart& part) {
  SerializationInfo value;
  value.addValue("type", std::string(kSnapshotType));
  value.addValue("id", part.id);
  value.addValue("revision", part.revision);
  value.addValue("part", part.index);
  value.addValue("parts", part.count);
  value.addValue("data", part.data);
  return FormatJson(value);
}

std::optional<SnapshotPart> DecodeSnapshotPart(std::string_view bytes) {
  try {
    const SerializationInfo value = ParseJson(bytes, kMaxPartBytes);
    if (JsonMember<std::string>(value, "type", "") != kSnapshotType) {
      return std::nullopt;
    }
    const int part = RequiredJsonMember<int>(value, "part");
    const int parts = RequiredJsonMember<int>(value, "parts");
    if (part < 0 || parts <= part ||
        static_cast<std::uint32_t>(parts) > kMaxParts) {
      throw Error("decode", "", "part number of a snapshot is out of range");
    }
    return SnapshotPart{RequiredJsonMember<std::string>(value, "id"),
                        RequiredJsonMember<std::uint64_t>(value, "revision"),
                        static_cast<std::uint32_t>(part),
                        static_cast<std::uint32_t>(parts),
                        RequiredJsonMember<std::string>(value, "data")};
  } catch (const std::exception& e) {
    throw Error("decode", "", e.what());
  }
}

std::vector<SnapshotPart> SplitSnapshot(const std::string& id,
                                        std::uint64_t revision,
                                        const std::string& state,
                                        std::size_t part_bytes) {
  const std::uint32_t parts =
      static_cast<std::uint32_t>((state.size() + part_bytes - 1) / part_bytes);
  std::vector<SnapshotPart> out;
  out.reserve(parts);
  for (std::uint32_t i = 0; i < parts; ++i) {
    out.push_back(
        {id, revision, i, parts, state.substr(i * part_bytes, part_bytes)});
  }
  return out;
}

std::optional<CompleteSnapshot> SnapshotAssembler::Add(const SnapshotPart& part,
                                                       WallTime logged) {
  std::deque<PartialSnapshot>::iterator it = std::find_if(
      partial_snapshots_.begin(), partial_snapshots_.end(),
      [&part](const PartialSnapshot& some) {
        return some.id == part.id && some.revision == part.revision &&
               some.parts == part.count;
      });
  if (it == partial_snapshots_.end()) {
    if (partial_snapshots_.size() >= kMaxPartialSnapshots) {
      partial_snapshots_.pop_front();
    }
    partial_snapshots_.push_back(
        {part.id, part.revision, logged, part.count, 0, {}});
    it = std::prev(partial_snapshots_.end());
  }
  if (!it->data.try_emplace(part.index, part.data).second) {
    return std::nullopt;
  }
  it->bytes += part.data.size();
  if (it->bytes > kMaxSnapshotBytes) {
    partial_snapshots_.erase(it);
    return std::nullopt;
  }
  if (it->data.size() < it->parts) {
    return std::nullopt;
  }
  CompleteSnapshot out = {it->revision, it->logged, ""};
  out.state.reserve(it->bytes);
  for (const auto& [number, data] : it->data) {
    out.state += data;
  }
  partial_snapshots_.erase(it);
  return out;
}

}  // namespace hornbeamcleat
