#ifndef HORNBEAMCLEAT_SRC_SERVING_TARGET_LIMITS_H_
#define HORNBEAMCLEAT_SRC_SERVING_TARGET_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/target_statement.h"
#include "src/serving/shared_rate.h"

namespace hornbeamcleat {

/// Limits on requests that targets state in their answers, for all VMs
/// together, and when this VM may send each of them a request.
///
/// Load pattern: a target in need takes a few requests per second from many VMs
/// at once, for as long as its answers say so. Those that send it requests
/// learn first when the limit changes or ends, and tell the others.
///
/// A limit binds from the moment at which it is known. A higher one, or an
/// answer without any, counts only once the lower one hasn't been stated for a
/// while, since answers on several connections arrive out of order. A target
/// that nobody has heard of for a while is tried by one VM after the other,
/// since those that should may have no requests for it. Times are on the
/// suspension-aware clock.
class TargetLimits {
 public:
  /// Limit of a target, as far as this VM knows.
  struct Limit {
    double per_second = 0;  ///< of all VMs together
    Duration age{0};        ///< since it was last stated to any VM

    bool operator==(const Limit&) const = default;
  };

  /// Records a limit that an answer to this VM states.
  /// @return whether this is news for peers
  bool OnStated(const TargetInstance& target, double per_second, Time now);

  /// Records an answer without a limit to a request that was sent at `sent`.
  /// @return whether this ends the limit
  bool OnUnlimitedAnswer(const TargetInstance& target, Time sent, Time now);

  /// Records what a peer knows.
  /// @return whether this changes the limit in force
  bool OnNotice(const LimitNotice& notice, Time now);

  /// Sets what tells how this VM stands to the others.
  void SetShareSource(std::function<VmShare(const TargetInstance&)> share) {
    share_ = std::move(share);
  }
  /// Asks it again for all limited targets.
  void UpdateShares(Time now);

  /// Returns the limit in force, or nullopt.
  std::optional<Limit> Find(const TargetInstance& target, Time now) const;

  /// Returns when this VM may send the target its next request, which is not
  /// after `now` for targets without a limit.
  Time OpensAt(const TargetInstance& target, Time now) const;

  /// Requests per second that this VM may send; 0 if it holds no turn.
  double OwnRate(const TargetInstance& target) const;
  /// Part of the limit that one of all VMs has on average.
  double MeanRate(const TargetInstance& target) const;

  /// A request was placed at the target.
  void OnPlaced(const TargetInstance& target, Time now);

  /// Last check before a request is sent. One that was placed before the limit
  /// was known is counted now.
  /// @param is_counted whether the limit was known when it was placed
  bool ConfirmSend(const TargetInstance& target, bool is_counted, Time now);

  /// Marks the targets that have an entry. Others are kept for a while.
  void SetListed(const std::vector<TargetInstance>& targets, Time now);

  /// Returns what targets have stated to this VM since `since`.
  std::vector<LimitNotice> NoticesSince(Time since, Time now) const;
  /// Returns all that is known, for a peer that has started or returned.
  std::vector<LimitNotice> AllNotices(Time now) const;

  std::size_t Size() const { return states_.size(); }
  /// Number of targets with a limit.
  int LimitedCount() const;

 private:
  struct State {
    std::int64_t start_time_ms = 0;
    bool is_limited = false;
    double per_second = 0;  ///< in force
    Time lowest_at;  ///< when the limit in force, or a lower one, was stated
    Time stated_at;  ///< latest statement of any limit, to any VM
    Time ended_at;
    Time news_at;  ///< latest statement to this VM, or end that it saw
    double told_per_second = 0;  ///< to peers
    VmShare share;
    SharedRate rate;
    Time tried_at;  ///< latest request without a turn
  };

  State* Refresh(const TargetInstance& target, Time now);
  const State* FindLimited(const TargetInstance& target) const;
  State* FindLimited(const TargetInstance& target) {
    return const_cast<State*>(std::as_const(*this).FindLimited(target));
  }
  static void Apply(double per_second, Time at, Time now, State* state);
  static Time OpensAt(const State& state);
  static Time TrialAt(const State& state);
  static void Take(Time now, State* state);
  static LimitNotice NoticeOf(std::uint64_t id, const State& state, Time now);
  void EvictOldest();

  std::unordered_map<std::uint64_t, State> states_;  ///< by hash of the ID
  std::unordered_set<std::uint64_t> listed_;
  std::function<VmShare(const TargetInstance&)> share_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_TARGET_LIMITS_H_
