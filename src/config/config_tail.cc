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

constexpr std::chrono::seconds kSnapshotRetry(30);
constexpr std::uint64_t kOldPart = 4;  // a snapshot in this fraction is old
constexpr int kUnsureFactor = 3;       // delay of a member that skipped records
constexpr std::size_t kMaxRecordBytes = 1024 * 1024;

std::chrono::milliseconds ToMilliseconds(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

// Where the records that a fresh member needs begin.
struct Base {
  std::uint64_t offset = 1;
  WallTime logged;
};

struct ChangeOf {
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

struct WriterOf {
  std::string operator()(const PutRecord& record) const {
    return record.writer;
  }
  std::string operator()(const DeleteRecord& record) const {
    return record.writer;
  }
  std::string operator()(const WithdrawRecord&) const { return ""; }
  std::string operator()(const MoveProgressRecord&) const { return ""; }
};

// Whether a newer build may understand a record that this one does not.
bool MayBeNewer(std::string_view payload) {
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
        static_cast<std::uint64_t>(options_.snapshot_spread.count()) + 1;
    delay_ = Duration(static_cast<Duration::rep>(Hash64(writer_) % width));
  }

  ConfigUpdate OnRead(const LogRead& read) override {
    oldest_ = std::max(oldest_, read.oldest);
    if (oldest_ > next_) {
      LoseTrack(oldest_);
    }
    for (const LogRecord& record : read.records) {
      if (record.offset < next_) {
        continue;
      }
      if (record.offset > next_) {
        LoseTrack(record.offset);
      }
      next_ = record.offset + 1;
      if (!TakeRecord(record)) {
        break;
      }
    }
    caught_up_ = next_ >= read.next;
    if (whole_ && (caught_up_ || current_ != nullptr)) {
      Publish();
    }
    return std::exchange(update_, ConfigUpdate{});
  }

  ConfigUpdate OnPeerState(const ConfigState& state) override {
    const std::uint64_t own =
        std::max(current_ == nullptr ? 0 : current_->revision,
                 whole_ ? state_.revision : 0);
    if (state.revision <= own) {
      return {};
    }
    state_ = state;
    contiguous_ = false;
    Publish();
    // What this member scanned without a state has to be read again.
    whole_ = state.revision + 1 >= oldest_;
    if (whole_) {
      next_ = state.revision + 1;
    }
    return std::exchange(update_, ConfigUpdate{});
  }

  std::shared_ptr<const ConfigState> Current() const override {
    return current_;
  }

  std::uint64_t NextOffset() const override { return next_; }

  bool HasGap() const override { return !whole_; }

  bool SnapshotDue(WallTime wall) override {
    if (!NeedsSnapshot(wall)) {
      due_since_.reset();
      return false;
    }
    if (!due_since_) {
      due_since_ = wall;
    }
    const Duration delay =
        unsure_ ? delay_ + kUnsureFactor * options_.snapshot_spread : delay_;
    return wall - *due_since_ >= ToMilliseconds(delay) && wall >= retry_at_;
  }

  std::vector<std::string> MakeSnapshot(WallTime wall) override {
    std::vector<std::string> out;
    if (current_ == nullptr) {
      return out;
    }
    retry_at_ = wall + kSnapshotRetry;
    const std::vector<SnapshotPart> parts =
        SplitSnapshot(NextWriterTag(), current_->revision,
                      EncodeState(*current_), options_.part_bytes);
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
  void LoseTrack(std::uint64_t from) {
    next_ = from;
    whole_ = false;
    assembler_.Clear();
  }

  // Returns false if reading has to go on elsewhere.
  bool TakeRecord(const LogRecord& record) {
    if (!base_) {
      base_ = Base{record.offset, record.time};
    }
    FoldedRecord folded = {record.offset, FoldResult::kInvalid, ""};
    try {
      if (const std::optional<SnapshotPart> part =
              DecodeSnapshotPart(record.payload)) {
        return TakeSnapshotPart(*part, record);
      }
      if (whole_) {
        FoldInto(DecodeRecord(record.payload), &folded);
      }
    } catch (const Error&) {
      unsure_ = unsure_ || MayBeNewer(record.payload);
    }
    if (whole_) {
      state_.revision = std::max(state_.revision, record.offset);
      update_.folded.push_back(std::move(folded));
    }
    return true;
  }

  void FoldInto(const ConfigRecord& record, FoldedRecord* folded) {
    folded->writer = std::visit(WriterOf{}, record);
    folded->result = Fold(record, folded->offset, &state_);
    if (folded->result != FoldResult::kApplied) {
      return;
    }
    const std::optional<ConfigChange> change =
        std::visit(ChangeOf{folded->offset, &state_}, record);
    if (change) {
      changes_.push_back(*change);
    }
  }

  bool TakeSnapshotPart(const SnapshotPart& part, const LogRecord& record) {
    const std::optional<WholeSnapshot> snapshot =
        assembler_.Add(part, record.time);
    if (whole_) {
      state_.revision = std::max(state_.revision, record.offset);
    }
    if (!snapshot) {
      return true;
    }
    if (snapshot->revision + 1 > base_->offset) {
      base_ = Base{snapshot->revision + 1, snapshot->logged};
    }
    if (whole_ || snapshot->revision + 1 < oldest_) {
      return true;
    }
    return !Load(*snapshot);
  }

  bool Load(const WholeSnapshot& snapshot) {
    ConfigState state = DecodeState(snapshot.state);
    if (state.revision != snapshot.revision) {
      return false;
    }
    state_ = std::move(state);
    whole_ = true;
    contiguous_ = false;
    changes_.clear();
    next_ = snapshot.revision + 1;
    assembler_.Clear();
    return true;
  }

  void Publish() {
    if (current_ != nullptr && state_.revision <= current_->revision) {
      return;
    }
    current_ = std::make_shared<const ConfigState>(state_);
    update_.published = true;
    update_.reset = !contiguous_;
    if (contiguous_) {
      update_.changes = std::move(changes_);
    }
    changes_.clear();
    contiguous_ = true;
  }

  bool NeedsSnapshot(WallTime wall) const {
    if (current_ == nullptr || !whole_ || !caught_up_ || !base_) {
      return false;
    }
    const bool aged =
        wall - base_->logged >= ToMilliseconds(options_.snapshot_period);
    const bool trimmed = oldest_ > 1;
    const bool old = base_->offset < oldest_ ||
                     (base_->offset - oldest_) * kOldPart < next_ - oldest_;
    return aged || (trimmed && old);
  }

  const std::string writer_;
  const ConfigTailOptions options_;
  Duration delay_;
  std::shared_ptr<const ConfigState> current_;
  ConfigState state_;       // being folded; at least as new once published
  bool whole_ = true;       // whether state_ holds all records before next_
  bool contiguous_ = true;  // whether changes_ leads from current_ to state_
  bool caught_up_ = false;
  bool unsure_ = false;  // skipped what a newer build may understand
  std::uint64_t next_ = 1;
  std::uint64_t oldest_ = 1;
  std::optional<Base> base_;
  std::optional<WallTime> due_since_;
  WallTime retry_at_ = WallTime::min();
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
