#ifndef HORNBEAMCLEAT_SRC_SERVING_TARGET_STATEMENTS_H_
#define HORNBEAMCLEAT_SRC_SERVING_TARGET_STATEMENTS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/serving_config.h"
#include "hornbeamcleat/serving/target_statement.h"

namespace hornbeamcleat {

/// Whether a VM may send requests to a target, as far as the target's own
/// statements decide.
enum class TargetAccess {
  kOpen,
  /// A rest is over, and no answer has come since: one request at a time.
  kTrial,
  /// The target asked another VM for rest: used if no other target is free.
  kAvoided,
  kResting,  ///< asked this VM for rest: no requests
  kLeaving,  ///< no requests for good
};

/// What targets have stated of themselves in answers to this VM and its peers.
///
/// Load pattern: targets are replaced one after the other while the store is
/// slow or away, so that their answers tell earlier than their entries that
/// they leave; and a service is so overloaded that its targets ask VMs to stop
/// sending for seconds, many VMs at once, which would all return in the same
/// instant.
///
/// A statement that a target leaves holds for this start of the target and for
/// earlier ones, whatever its entry says afterwards. The end of a rest is never
/// brought forward. Times are on the suspension-aware clock.
class TargetStatements {
 public:
  /// Records a statement made to this VM. A target without a statement stays
  /// as it is.
  /// @param return_delay added to the rest, so that VMs return in turn
  /// @return whether this is news for peers
  bool OnStatement(const TargetInstance& target,
                   const TargetStatement& statement, Duration return_delay,
                   Time now);

  /// The target's entry says that it leaves.
  void OnDraining(const TargetInstance& target, Time now);

  /// Records what a peer was told.
  /// @return whether the target leaves and this VM didn't know
  bool OnNotice(const TargetNotice& notice, Time now);

  /// The target has answered a request with something else than a refusal.
  void OnAnswered(const TargetInstance& target, Time now);

  TargetAccess Access(const TargetInstance& target, Time now) const;

  /// Whether the target has said that it leaves.
  bool IsLeaving(const TargetInstance& target) const;

  /// Returns when the target may be sent a request again, or Time::max() if it
  /// leaves; `now` if it may be already.
  Time OpensAt(const TargetInstance& target, Time now) const;

  /// Marks the targets that have an entry, whose statements are kept. Others
  /// are kept for a while, since entries lapse and come back.
  void SetListed(const std::vector<TargetInstance>& targets, Time now);

  /// Returns the own statements since `since`, to report to peers.
  std::vector<TargetNotice> NoticesSince(Time since, Time now) const;
  /// Returns all statements, for a peer that has started.
  std::vector<TargetNotice> AllNotices(Time now) const;

  std::size_t Size() const { return states_.size(); }

 private:
  struct State {
    bool is_leaving = false;
    /// Latest start that is known to leave.
    std::int64_t leaving_start_ms = 0;
    std::int64_t rest_start_ms = 0;  ///< start of the target that rests
    Time rest_ends;                  ///< asked of this VM
    Time opens_at;                   ///< when this VM may send again
    Duration return_delay{0};        ///< from a rest's end to this VM's return
    Time told_rest_ends;             ///< latest one that peers were told
    Time peer_rest_ends;             ///< asked of a peer
    bool needs_trial = false;
    Time stated_at;  ///< to this VM
    Time known_at;   ///< latest statement or entry
  };

  static bool IsLeaving(const State& state, std::int64_t start_time_ms) {
    return state.is_leaving && start_time_ms <= state.leaving_start_ms;
  }
  static bool MarkLeaving(std::int64_t start_time_ms, State* state);
  State* Refresh(const TargetInstance& target, Time now);
  static TargetNotice NoticeOf(std::uint64_t id, const State& state, Time now);
  void EvictOldest();

  std::unordered_map<std::uint64_t, State> states_;  ///< by hash of the ID
  std::unordered_set<std::uint64_t> listed_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_TARGET_STATEMENTS_H_
