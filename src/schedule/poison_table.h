#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_POISON_TABLE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_POISON_TABLE_H_

#include <cstdint>
#include <map>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Counts target crashes by the content that was running, identified by its
/// fingerprint. Crashes of one target within a short time count once, since the
/// same content may have run there several times at once. Content with one
/// crash is suspect and does not share a target with another suspect, so that a
/// second crash is not attributed to unrelated content. At the limit it is
/// refused until its entry expires. Bounded in size; the oldest entries are
/// evicted first.
class PoisonTable {
 public:
  static constexpr std::size_t kMaxEntries = 4'096;

  PoisonTable(int limit, Duration expiry) : limit_(limit), expiry_(expiry) {}

  /// Sets the counts reported by peers, which are added to this entry's own.
  void SetPeers(const std::map<std::uint64_t, int>& peers) { peers_ = peers; }

  /// Records that a target crashed while it ran the content.
  void OnTargetLost(std::uint64_t fingerprint, const TargetName& target,
                    Time now);

  /// Records that the content was answered completely, which rules it out as
  /// the cause of crashes. Its crashes at this entry and at peers are ignored
  /// until the expiry time has passed.
  void OnServed(std::uint64_t fingerprint, Time now);

  /// Number of crashes attributed to the content, at this entry and at peers.
  int Lost(std::uint64_t fingerprint, Time now) const;

  bool Refused(std::uint64_t fingerprint, Time now) const {
    return Lost(fingerprint, now) >= limit_;
  }

  void Expire(Time now);

  /// Counts of this entry alone.
  std::map<std::uint64_t, int> Own(Time now) const;

 private:
  struct Entry {
    std::map<TargetName, Time> last_by_target;
    int losses = 0;
    Time last;
  };

  bool IsLive(const Entry& entry, Time now) const {
    return now < entry.last + expiry_;
  }
  void DropOldest();

  const int limit_;
  const Duration expiry_;
  std::map<std::uint64_t, Entry> entries_;
  std::map<std::uint64_t, int> peers_;
  std::map<std::uint64_t, Time> served_;  ///< contents cleared after crashes
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_POISON_TABLE_H_
