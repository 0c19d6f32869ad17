#ifndef HORNBEAMCLEAT_SRC_SERVING_CONTENT_LOSS_TABLE_H_
#define HORNBEAMCLEAT_SRC_SERVING_CONTENT_LOSS_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"

namespace hornbeamcleat {

/// Tracks targets that were lost while they ran a request content, and refuses
/// content that is likely to crash any target.
///
/// Load pattern: one content crashes each target that runs it, and its caller
/// sends it again and again to any VM. Every crash also breaks off the requests
/// beside it, which must not be refused in turn.
///
/// A content is refused once it has lost `limit` different incarnations of
/// targets, whichever VMs saw them, without a complete answer since. It needs
/// one more if another content was lost at all of these targets and may be the
/// cause, and targets lost under another refused content don't count.
///
/// After a while, one request of refused content is let through as a trial: a
/// complete answer clears it, else the next trial comes after a longer time.
///
/// VMs exchange losses, trials and complete answers. Each VM reports what it
/// has seen itself, and everything to peers that may have just started, so that
/// losses outlive the VM that saw them. Times are those of the clock that
/// includes VM suspension. Bounded in size; the oldest entries are evicted.
class ContentLossTable {
 public:
  static constexpr std::size_t kMaxEntries = 4'096;
  /// Contents in one report; the latest go first.
  static constexpr std::size_t kMaxReported = 128;
  /// Targets kept for one content; further ones change nothing.
  static constexpr std::size_t kMaxTargetsPerContent = 8;

  struct Options {
    int limit = 2;             ///< lost targets from which content is refused
    Duration refusal_time{0};  ///< from the first trial to the second

    bool operator==(const Options&) const = default;
  };

  explicit ContentLossTable(const Options& options) : options_(options) {}

  void SetOptions(const Options& options) { options_ = options; }

  /// Records that a target's connection was lost while it ran the content.
  /// @param target_incarnation identifies the target and its start
  void OnTargetLost(std::uint64_t fingerprint,
                    std::string_view target_incarnation, Time now);

  /// Records that a target answered a request sent at `sent_at`. Connections to
  /// it that were lost shortly before were not lost by a crash, since a process
  /// takes longer to start.
  void OnTargetAnswered(std::string_view target_incarnation, Time sent_at,
                        Time now);

  /// Records a complete answer, which rules the content out as the cause of
  /// earlier losses.
  void OnAnswered(std::uint64_t fingerprint, Time now);

  /// Records an answer that looks complete but ends with its connection, which
  /// a crash may have closed. It counts once the target answers again.
  void OnUnprovenAnswer(std::uint64_t fingerprint,
                        std::string_view target_incarnation, Time now);

  /// Lets one request of refused content through if a trial is due. Until the
  /// next one is, the content stays refused at all VMs.
  /// @param delay after a trial is due, so that one VM takes it and others hear
  ///   of it first
  bool TakeTrial(std::uint64_t fingerprint, Duration delay, Time now);

  /// Merges a peer's report.
  void OnPeerReport(const ContentReport& report, Time now);

  /// Number of different targets lost since the last complete answer.
  int Losses(std::uint64_t fingerprint) const;

  /// Whether the content is refused, but for trials.
  bool IsRefused(std::uint64_t fingerprint) const;

  /// Time until the next trial of refused content.
  Duration TimeToTrial(std::uint64_t fingerprint, Time now) const;

  /// Whether content may have caused losses but is not trusted, so that it is
  /// sent to a target of its own.
  bool IsSuspect(std::uint64_t fingerprint, Time now) const;

  /// Returns contents that became refused since the last call.
  std::vector<std::uint64_t> TakeNewlyRefused();

  /// Returns what this VM has seen itself since a time.
  ContentReport ChangesSince(Time since, Time now) const;

  /// Returns all that this VM knows, for a peer that has started.
  ContentReport CompleteReport(Time now) const;

  /// Number of changes that peers must hear of immediately.
  std::uint64_t Changes() const { return changes_; }

  int RefusedCount() const;

  void Expire(Time now);

 private:
  static constexpr Time kNeverSeen = Time::min();

  struct Entry {
    /// Latest loss of each incarnation, by its hash.
    std::map<std::uint32_t, Time> targets;
    Time tried_at;                 ///< latest loss or trial
    std::uint32_t trials = 0;      ///< that ended in a loss
    bool has_open_trial = false;   ///< of this VM
    Time changed_at = kNeverSeen;  ///< by what this VM has seen itself
    bool is_refused = false;
  };

  /// When a content was cleared or a target was alive.
  struct Sighting {
    Time at;
    Time seen_at = kNeverSeen;  ///< by this VM itself
  };

  /// Contents that were lost with one target.
  struct LostTarget {
    std::map<std::uint64_t, Entry*> contents;
    /// Number of refused contents by how many targets they lost.
    std::array<int, kMaxTargetsPerContent + 1> refused_by_losses{};
  };

  /// Counts unproven answers of a target that was alive later.
  void ProveAnswers(std::uint32_t target, Time alive_at, Time now);
  void CountAnswer(std::uint64_t fingerprint, Time answered_at, Time now);
  void MergeLoss(const ContentLoss& loss, Time now);
  ContentReport MakeReport(Time since, Time now) const;
  bool IsTrusted(std::uint64_t fingerprint, Time now) const;
  /// Whether another content was lost at all of these targets.
  bool HasOtherCause(std::uint64_t fingerprint, const Entry& entry) const;
  /// Lost targets that no other refused content with more losses explains.
  int UnexplainedLosses(const Entry& entry) const;
  /// Time from the latest loss or trial to the next trial.
  Duration RefusalTime(const Entry& entry) const;
  bool IsForgotten(const Entry& entry, Time now) const;
  void SetRefused(bool is_refused, Entry* entry);
  /// Adds refused content to the counts of its targets, or removes it.
  void CountRefused(const Entry& entry, int sign);
  Entry* FindOrAdd(std::uint64_t fingerprint);
  /// Returns whether the target is new to the content.
  bool AddTarget(std::uint64_t fingerprint, std::uint32_t target, Time lost_at,
                 Entry* entry);
  void Erase(std::uint64_t fingerprint);
  void RemoveContent(std::uint32_t target, std::uint64_t fingerprint);
  bool WasAlive(std::uint32_t target, Time lost_at) const;
  /// Drops losses of a target that was alive at `at`; returns whether any.
  bool DropLosses(std::uint32_t target, Time at);
  /// Decides anew on all contents that were lost at one of the targets.
  void UpdateRefusals(const std::vector<std::uint32_t>& targets, Time now);
  void Clear(std::uint64_t fingerprint, Time at);
  void RememberAnswer(std::uint64_t fingerprint, Time now);

  Options options_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::map<std::uint32_t, LostTarget> lost_targets_;
  std::map<std::uint64_t, Sighting> cleared_;  ///< by complete answers
  /// Latest loss of each target that may still turn out to be alive.
  std::map<std::uint32_t, Time> recently_lost_;
  /// Targets that answered after a loss.
  std::map<std::uint32_t, Sighting> alive_;
  /// Contents that this VM has answered completely, by time.
  std::unordered_map<std::uint64_t, Time> answered_;
  std::deque<std::pair<Time, std::uint64_t>> answered_order_;
  /// Content with losses and the time of its latest unproven answer, by target.
  std::map<std::uint32_t, std::map<std::uint64_t, Time>> unproven_;
  std::vector<std::uint64_t> newly_refused_;
  std::uint64_t changes_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_CONTENT_LOSS_TABLE_H_
