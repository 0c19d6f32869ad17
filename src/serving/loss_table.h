#ifndef HORNBEAMCLEAT_SRC_SERVING_LOSS_TABLE_H_
#define HORNBEAMCLEAT_SRC_SERVING_LOSS_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/request_property.h"
#include "src/serving/answered_properties.h"
#include "src/serving/open_runs.h"
#include "src/serving/property_combinations.h"
#include "src/serving/target_run.h"

namespace hornbeamcleat {

/// Tracks targets that were lost while they ran requests, by the requests'
/// properties, and refuses properties that are likely to crash any target.
///
/// Load pattern: requests with one property in common, which is unknown, crash
/// each target that begins to answer them. They come to any VM, again or with
/// all else different. Every crash also breaks off the requests beside it,
/// which share other properties with it and must not be refused in turn.
///
/// A property is refused once enough targets were lost while they ran requests
/// with it, whichever VMs saw them, and no request with it was answered since.
/// Several targets that are lost at the same time for another reason count as
/// one: except for whole contents, a loss counts only if its request was sent
/// after the loss before. More losses are needed for a property that was
/// answered recently, that many requests have, or that is always lost beside
/// another one. Where several properties explain the same losses, the most
/// specific one is refused first, and losses that it explains don't count
/// against the others.
///
/// After a while, one request of a refused property is let through as a trial:
/// a complete answer clears it, else the next trial comes after a longer time.
///
/// VMs exchange losses, trials and answers. Each VM reports what it has seen
/// itself, and everything to peers that may have just started, so that losses
/// outlive the VM that saw them. Times are those of the clock that includes VM
/// suspension. Bounded in size; the oldest entries are evicted.
class LossTable {
 public:
  static constexpr std::size_t kMaxEntries = 4'096;
  /// Losses are remembered for this multiple of the refusal time.
  static constexpr int kMemoryFactor = 20;
  /// Properties in one report; the latest go first.
  static constexpr std::size_t kMaxReported = 256;
  /// Targets kept for one property; further ones change nothing.
  static constexpr std::size_t kMaxTargetsPerProperty = 8;

  struct Options {
    int limit = 2;             ///< lost targets from which a content is refused
    Duration refusal_time{0};  ///< from the first trial to the second

    bool operator==(const Options&) const = default;
  };

  explicit LossTable(const Options& options) : options_(options) {}

  void SetOptions(const Options& options) { options_ = options; }

  /// Records that a target's connection was lost before it had answered.
  void OnTargetLost(const TargetRun& run, Time now);

  /// Records that a request's time was over without a sign of an answer. Counts
  /// as a loss unless the target was heard meanwhile, until it is heard.
  void OnSilent(const TargetRun& run, Time now);

  /// Records that a target sent part of an answer.
  void OnTargetHeard(std::uint32_t target, Time now);

  /// Records that a run was given up, for example because its caller left. It
  /// counts as lost if its target is lost shortly before or after.
  void OnAbandoned(const TargetRun& run, Time now);

  /// Records that a target answered a request sent at `sent_at`. Connections to
  /// it that were lost shortly before were not lost by a crash, since a process
  /// takes longer to start.
  void OnTargetAnswered(std::uint32_t target, Time sent_at, Time now);

  /// Records that a connection to a target failed.
  void OnTargetUnreached(std::uint32_t target, Time now);

  /// Records a complete answer, which rules the request's properties out as the
  /// cause of losses before the answer began.
  void OnAnswered(const TargetRun& run, Time began_at, Time now);

  /// Records an answer that looks complete but ends with its connection, which
  /// a crash may have closed. It counts once the target answers again, and as a
  /// loss if the target is lost.
  void OnUnprovenAnswer(const TargetRun& run, Time began_at, Time now);

  /// Lets one request with refused properties through if a trial of all of them
  /// is due. Until the next one is, they stay refused at all VMs.
  /// @param delay after a trial is due, so that one VM takes it and others hear
  ///   of it first
  bool TakeTrial(const std::vector<RequestProperty>& properties,
                 const std::function<Duration(std::uint64_t)>& delay, Time now);

  /// Records that the request of a trial is sent: unless it is answered, the
  /// next trial comes later.
  void OnTrialSent(const std::vector<RequestProperty>& properties, Time now);

  /// Merges a peer's report.
  void OnPeerReport(const LossReport& report, Time now);

  /// Refuses a property that the VMs refused before all of them stopped.
  void Restore(const PropertyLoss& refused, Time now);

  /// Tells peers of recent answers to properties that they know losses of only.
  /// @param rank number of VMs that should tell it before this one, by code
  void ReportAnswers(const std::function<int(std::uint64_t)>& rank, Time now);

  /// Number of different targets lost since the last complete answer.
  int Losses(RequestProperty property) const;

  /// Returns the refused ones of a request's properties.
  std::vector<RequestProperty> RefusedOf(
      const std::vector<RequestProperty>& properties) const;

  /// Whether a property is refused, but for trials.
  bool IsRefused(RequestProperty property) const;

  /// Whether a request with this property was answered recently.
  bool IsTrusted(RequestProperty property, Time now) const;

  /// Time until the next trial of all of these properties.
  Duration TimeToTrial(const std::vector<RequestProperty>& properties,
                       Time now) const;

  /// Whether this target is known to be lost.
  bool KnowsLossOf(std::uint32_t target) const {
    return recently_lost_.contains(target) || lost_targets_.contains(target);
  }

  /// Whether a refused property explains the loss of a target.
  bool IsExplained(std::uint32_t target) const;

  /// Returns the property that may have caused losses but is not trusted, so
  /// that requests with it are sent to a target of their own: of the parts with
  /// most losses the last one, else the content; nullptr if none.
  const RequestProperty* FindSuspect(
      const std::vector<RequestProperty>& properties, Time now) const;

  /// Returns properties that became refused since the last call.
  std::vector<RequestProperty> TakeNewlyRefused();

  /// Returns what this VM has seen itself since a time.
  LossReport ChangesSince(Time since, Time now) const;

  /// Returns what this VM has seen itself.
  LossReport OwnReport(Time now) const;

  /// Returns all that this VM knows, for a peer that has started.
  LossReport CompleteReport(Time now) const;

  /// Returns the refused properties that this VM has seen losses of.
  std::vector<PropertyLoss> OwnRefused(Time now) const;

  /// Number of changes that peers must hear of immediately.
  std::uint64_t Changes() const { return changes_; }

  int RefusedCount() const;

  void Expire(Time now);

 private:
  static constexpr Time kNeverSeen = Time::min();
  /// Answers to requests without a property that tell it from what all
  /// requests share.
  static constexpr std::size_t kMinAnswersWithout = 3;

  struct Loss {
    Time sent_at;
    Time lost_at;
    std::uint16_t request = 0;
    std::uint8_t place = 0;  ///< of a part among the parts of the prompt
    bool is_silent = false;  ///< the target may still be alive
  };

  struct Entry {
    /// Latest loss of each incarnation.
    std::map<std::uint32_t, Loss> targets;
    Time known_at;                 ///< since when this VM knows of losses
    Time tried_at;                 ///< latest loss or trial
    std::uint32_t trials = 0;      ///< that did not end in an answer
    bool has_open_trial = false;   ///< of this VM
    Time changed_at = kNeverSeen;  ///< by what this VM has seen itself
    bool is_refused = false;
    bool is_restored = false;  ///< refused without evidence of this process
  };
  using Entries =
      std::unordered_map<RequestProperty, Entry, RequestPropertyHash>;

  /// When a property was answered or a target was alive.
  struct Sighting {
    Time at;
    Time seen_at = kNeverSeen;   ///< by this VM itself
    Time heard_at = kNeverSeen;  ///< from a peer
  };

  /// Properties that were lost with one target.
  struct LostTarget {
    std::map<RequestProperty, Entry*> properties;
    /// Number of refused properties by kind and by how many targets they lost.
    std::array<std::array<std::uint16_t, kMaxTargetsPerProperty + 1>,
               kPropertyKinds>
        refused{};
  };

  const Entry* Find(RequestProperty property) const;
  /// Calls `use` for each property of a request, combinations included if any
  /// has losses.
  template <typename Use>
  void ForEachKnown(const std::vector<RequestProperty>& properties,
                    Use use) const;
  void AddLoss(const TargetRun& run, Time lost_at, bool is_silent, Time now);
  /// Counts runs with an open end at a target that was lost.
  void CountOpenRuns(std::uint32_t target, Time lost_at, Time now);
  void AddOpenRun(OpenRuns::OpenRun run, Time now);
  void CountAnswer(const TargetRun& run, Time began_at, Time now);
  void MergeLoss(const PropertyLoss& loss, Time now);
  LossReport MakeReport(Time since, Time now) const;
  PropertyLoss MakeLoss(RequestProperty property, const Entry& entry,
                        Time now) const;
  bool IsReportedRecently(RequestProperty property, Time now) const;
  void ReportAnswer(RequestProperty property, Time now);
  /// Whether another property, which other requests have, was lost at all of
  /// these targets and may be the cause.
  bool HasRival(RequestProperty property, const Entry& entry, Time now) const;
  /// Whether the loss at a target has a likelier cause that is refused.
  bool IsExplainedFor(RequestProperty property, const Entry& entry,
                      std::uint32_t target) const;
  void AddLatestAnswer(Time began_at);
  /// Whether enough requests were answered since the first loss of a property,
  /// so that it isn't what all requests share.
  bool HasContrast(const Entry& entry) const;
  /// Losses that count against a property.
  int Evidence(RequestProperty property, const Entry& entry) const;
  bool IsAtLimit(RequestProperty property, const Entry& entry, Time now) const;
  /// Time from the latest loss or trial to the next trial.
  Duration RefusalTime(const Entry& entry) const;
  bool IsForgotten(const Entry& entry, Time now) const;
  void SetRefused(RequestProperty property, bool is_refused, Entry* entry);
  /// Adds a refused property to the counts of its targets, or removes it.
  void CountRefused(RequestProperty property, const Entry& entry, int sign);
  Entry* FindOrAdd(RequestProperty property, Time now);
  /// Returns whether the target is new to the property.
  bool AddTarget(RequestProperty property, std::uint32_t target,
                 const Loss& loss, Entry* entry);
  /// Target whose loss adds nothing to the evidence, if any.
  static std::optional<std::uint32_t> SpareTarget(RequestProperty property,
                                                  const Entry& entry);
  void RemoveTarget(RequestProperty property, std::uint32_t target,
                    Entry* entry);
  void Erase(RequestProperty property);
  /// Counts entries that are combinations.
  void CountCombination(RequestProperty property, int sign);
  bool WasAlive(std::uint32_t target, const Loss& loss) const;
  /// Whether a target that was alive at `at` can't have been lost before.
  static bool IsDisproved(const Loss& loss, Time at);
  /// Drops losses of a target that was alive at `at`; returns whether any.
  bool DropLossesOf(std::uint32_t target, Time at);
  /// Drops losses of a property up to a time; returns whether any.
  bool DropLossesUntil(RequestProperty property, Time at);
  /// Decides anew on all properties that were lost at one of the targets.
  void UpdateRefusals(const std::vector<std::uint32_t>& targets, Time now);
  /// Decides on properties that gained losses at a target and on those that are
  /// refused, and on all others only if that changes what is refused.
  void DecideOnLosses(const std::vector<RequestProperty>& properties,
                      std::uint32_t target, Time now);
  using Candidate = std::pair<RequestProperty, Entry*>;
  /// Refuses candidates and clears those that are refused without reason.
  /// Returns whether that changes anything.
  bool Decide(std::vector<Candidate> candidates, std::vector<Candidate> refused,
              Time now);

  Options options_;
  Entries entries_;
  int pair_count_ = 0;    ///< entries that are pairs
  int triple_count_ = 0;  ///< entries that are triples
  std::map<std::uint32_t, LostTarget> lost_targets_;
  /// Answers that peers must hear of.
  std::map<RequestProperty, Sighting> reported_answers_;
  /// Latest loss of each target that may still turn out to be alive.
  std::map<std::uint32_t, Time> recently_lost_;
  /// Latest part of an answer of each target.
  std::unordered_map<std::uint32_t, Time> heard_;
  std::set<std::uint32_t> silent_;  ///< targets with losses by silence
  /// Targets that answered after a loss.
  std::map<std::uint32_t, Sighting> alive_;
  AnsweredProperties answered_;
  /// When the latest complete answers began, to this VM or reported by peers.
  std::array<Time, kMinAnswersWithout> latest_answers_ = {
      kNeverSeen, kNeverSeen, kNeverSeen};
  OpenRuns open_runs_;
  PropertyCombinations combinations_;
  std::vector<RequestProperty> newly_refused_;
  std::uint64_t changes_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_LOSS_TABLE_H_
