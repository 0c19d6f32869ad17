#include "hornbeamcleat/config/config_tail.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/hash.h"
#include "src/base/json.h"
#include "src/config/snapshot_record.h"

namespace hornbeamcleat {
namespace {

constexpr std::chrono::seconds kSnapshotRetryDelay(30);
constexpr std::uint64_t kOldSnapshotDivisor = 4;  // oldest quarter of the log
// Lets members that decoded all records append the snapshot first.
constexpr int kSkippedRecordsDelayFactor = 3;
constexpr std::size_t kMaxRecordBytes = 1024 * 1024;

std::chrono::milliseconds ToMilliseconds(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

// Start of the records that a newly started member has to read.
struct ReplayStart {
  std::uint64_t offset = 1;
  WallTime logged;
};

struct ChangeVisitor {
  std::uint64_t revision;
  const ConfigState* state;

  std::optional<ConfigChange> operator()(const PutRecord& record) const {
    return ConfigChange{false, revision, KindName(record.resource.spec),
                        record.resource.name};
  }
  std::optional<ConfigChange> operator()(const DeleteRecord& record) const {
    return ConfigChange{true, revision, record.kind, record.name};
  }
  std::optional<ConfigChange> operator()(const WithdrawRecord& record) const {
    const char* kind = KindName(VersionSpec{});
    return state->Find(kind, record.version) == nullptr
               ? std::nullopt
               : std::optional<ConfigChange>(
                     {false, revision, kind, record.version});
  }
  std::optional<ConfigChange> operator()(
      const MoveProgressRecord& record) const {
    return ConfigChange{false, revision, KindName(MoveSpec{}), record.move};
  }
};

struct WriterVisitor {
  std::string operator()(const PutRecord& record) const {
    return record.writer;
  }
  std::string operator()(const DeleteRecord& record) const {
    return record.writer;
  }
  std::string operator()(const WithdrawRecord&) const { return ""; }
  std::string operator()(const MoveProgressRecord&) const { return ""; }
};

// Whether a newer build may be able to decode a record that this one can't.
bool MayBeFromNewerBuild(std::string_view payload) {
  try {
    const cxxtools::SerializationInfo value =
        ParseJson(payload, kMaxRecordBytes);
    const std::string type = JsonMember<std::string>(value, "type", "");
    const cxxtools::SerializationInfo* resource = value.findMember("resource");
    if (type == "Put" && resource != nullptr) {
      return !IsKnownKind(JsonMember<std::string>(*resource, "kind", ""));
    }
    return type != "Delete" && type != "Withdraw" && type != "MoveProgress";
  } catch (const std::exception&) {
    return false;
  }
}

class ConfigTailImpl : public ConfigTail {
 public:
  ConfigTailImpl(std::string writer, const ConfigTailOptions& options)
      : writer_(std::move(writer)), options_(options) {
    const std::uint64_t width =
        static_cast<std::uint64_t>(options_.snapshot_jitter.count()) + 1;
    snapshot_delay_ =
        Duration(static_cast<Duration::rep>(Hash64(writer_) % width));
  }

  ConfigUpdate OnRead(const LogRead& read) override {
    oldest_offset_ = std::max(oldest_offset_, read.oldest);
    if (oldest_offset_ > next_offset_) {
      StartGap(oldest_offset_);
    }
    for (const LogRecord& record : read.records) {
      if (record.offset < next_offset_) {
        continue;
      }
      if (record.offset > next_offset_) {
        StartGap(record.offset);
      }
      next_offset_ = record.offset + 1;
      if (!ProcessRecord(record)) {
        break;
      }
    }
    caught_up_ = next_offset_ >= read.next;
    if (complete_ && (caught_up_ || published_state_ != nullptr)) {
      Publish();
    }
    return std::exchange(update_, ConfigUpdate{});
  }

  ConfigUpdate OnPeerState(const ConfigState& state) override {
    const std::uint64_t own =
        std::max(published_state_ == nullptr ? 0 : published_state_->revision,
                 complete_ ? folded_state_.revision : 0);
    if (state.revision <= own) {
      return {};
    }
    folded_state_ = state;
    changes_complete_ = false;
    Publish();
    // Records that this member scanned without a state must be read again.
    complete_ = state.revision + 1 >= oldest_offset_;
    if (complete_) {
      next_offset_ = state.revision + 1;
    }
    return std::exchange(update_, ConfigUpdate{});
  }

  std::shared_ptr<const ConfigState> Current() const override {
    return published_state_;
  }

  std::uint64_t NextOffset() const override { return next_offset_; }

  bool HasGap() const override { return !complete_; }

  bool SnapshotDue(WallTime wall) override {
    if (!NeedsSnapshot(wall)) {
      snapshot_due_since_.reset();
      return false;
    }
    if (!snapshot_due_since_) {
      snapshot_due_since_ = wall;
    }
    const Duration delay = skipped_newer_records_
                               ? snapshot_delay_ + kSkippedRecordsDelayFactor *
                                                       options_.snapshot_jitter
                               : snapshot_delay_;
    return wall - *snapshot_due_since_ >= ToMilliseconds(delay) &&
           wall >= next_snapshot_attempt_;
  }

  std::vector<std::string> MakeSnapshot(WallTime wall) override {
    std::vector<std::string> out;
    if (published_state_ == nullptr) {
      return out;
    }
    next_snapshot_attempt_ = wall + kSnapshotRetryDelay;
    const std::vector<SnapshotPart> parts =
        SplitSnapshot(NextWriterTag(), published_state_->revision,
                      EncodeState(*published_state_), options_.part_bytes);
    out.reserve(parts.size());
    for (const SnapshotPart& part : parts) {
      out.push_back(EncodeSnapshotPart(part));
    }
    return out;
  }

  std::string NextWriterTag() override {
    return fmt::format("{}#{}", writer_, ++last_tag_);
  }

 private:
  // The records up to `from` expired before they were read.
  void StartGap(std::uint64_t from) {
    next_offset_ = from;
    complete_ = false;
    assembler_.Clear();
  }

  // Returns false if reading must continue at a different offset.
  bool ProcessRecord(const LogRecord& record) {
    if (!replay_start_) {
      replay_start_ = ReplayStart{record.offset, record.time};
    }
    FoldedRecord folded = {record.offset, FoldResult::kInvalid, ""};
    try {
      if (const std::optional<SnapshotPart> part =
              DecodeSnapshotPart(record.payload)) {
        return ProcessSnapshotPart(*part, record);
      }
      if (complete_) {
        FoldAndNoteChange(DecodeRecord(record.payload), &folded);
      }
    } catch (const Error&) {
      skipped_newer_records_ =
          skipped_newer_records_ || MayBeFromNewerBuild(record.payload);
    }
    if (complete_) {
      folded_state_.revision = std::max(folded_state_.revision, record.offset);
      update_.folded.push_back(std::move(folded));
    }
    return true;
  }

  void FoldAndNoteChange(const ConfigRecord& record, FoldedRecord* folded) {
    folded->writer = std::visit(WriterVisitor{}, record);
    folded->result = Fold(record, folded->offset, &folded_state_);
    if (folded->result != FoldResult::kApplied) {
      return;
    }
    const std::optional<ConfigChange> change =
        std::visit(ChangeVisitor{folded->offset, &folded_state_}, record);
    if (change) {
      changes_.push_back(*change);
    }
  }

  bool ProcessSnapshotPart(const SnapshotPart& part, const LogRecord& record) {
    const std::optional<CompleteSnapshot> snapshot =
        assembler_.Add(part, record.time);
    if (complete_) {
      folded_state_.revision = std::max(folded_state_.revision, record.offset);
    }
    if (!snapshot) {
      return true;
    }
    if (snapshot->revision + 1 > replay_start_->offset) {
      replay_start_ = ReplayStart{snapshot->revision + 1, snapshot->logged};
    }
    if (complete_ || snapshot->revision + 1 < oldest_offset_) {
      return true;
    }
    return !LoadSnapshot(*snapshot);
  }

  bool LoadSnapshot(const CompleteSnapshot& snapshot) {
    ConfigState state = DecodeState(snapshot.state);
    if (state.revision != snapshot.revision) {
      return false;
    }
    folded_state_ = std::move(state);
    complete_ = true;
    changes_complete_ = false;
    changes_.clear();
    next_offset_ = snapshot.revision + 1;
    assembler_.Clear();
    return true;
  }

  void Publish() {
    if (published_state_ != nullptr &&
        folded_state_.revision <= published_state_->revision) {
      return;
    }
    published_state_ = std::make_shared<const ConfigState>(folded_state_);
    update_.published = true;
    update_.reset = !changes_complete_;
    if (changes_complete_) {
      update_.changes = std::move(changes_);
    }
    changes_.clear();
    changes_complete_ = true;
  }

  bool NeedsSnapshot(WallTime wall) const {
    if (published_state_ == nullptr || !complete_ || !caught_up_ ||
        !replay_start_) {
      return false;
    }
    const bool aged = wall - replay_start_->logged >=
                      ToMilliseconds(options_.snapshot_period);
    const bool trimmed = oldest_offset_ > 1;
    const bool old =
        replay_start_->offset < oldest_offset_ ||
        (replay_start_->offset - oldest_offset_) * kOldSnapshotDivisor <
            next_offset_ - oldest_offset_;
    return aged || (trimmed && old);
  }

  const std::string writer_;
  const ConfigTailOptions options_;
  Duration snapshot_delay_;
  std::shared_ptr<const ConfigState> published_state_;
  ConfigState folded_state_;      // not older than published_state_
  bool complete_ = true;          // no records are missing before next_offset_
  bool changes_complete_ = true;  // from published_state_ on
  bool caught_up_ = false;
  bool skipped_newer_records_ = false;
  std::uint64_t next_offset_ = 1;
  std::uint64_t oldest_offset_ = 1;
  std::optional<ReplayStart> replay_start_;
  std::optional<WallTime> snapshot_due_since_;
  WallTime next_snapshot_attempt_ = WallTime::min();
  std::uint64_t last_tag_ = 0;
  SnapshotAssembler assembler_;
  std::vector<ConfigChange> changes_;
  ConfigUpdate update_;
};

}  // namespace

std::unique_ptr<ConfigTail> ConfigTail::Make(const std::string& writer,
                                             const ConfigTailOptions& options) {
  return std::make_unique<ConfigTailImpl>(writer, options);
}

}  // namespace hornbeamcleat
