#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_POISON_TABLE_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_POISON_TABLE_H_

#include <cstdint>
#include <map>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Contents that were running when targets were lost, by fingerprint. Losses of
/// one target within a short time are one loss, since equal contents may have
/// run there side by side. Content seen at one loss is suspect and runs on a
/// target without another suspect, so that a second loss convicts no bystander;
/// at the limit it is refused until the entry expires. Bounded in number; the
/// oldest entries go first.
class PoisonTable {
 public:
  static constexpr std::size_t kMaxEntries = 4'096;

  PoisonTable(int limit, Duration expiry) : limit_(limit), expiry_(expiry) {}

  /// Counts from the peers; they add to this entry's own.
  void SetPeers(const std::map<std::uint64_t, int>& peers) { peers_ = peers; }

  /// A target was lost while it ran the content.
  void OnTargetLost(std::uint64_t fingerprint, const TargetName& target,
                    Time now);

  /// The content was answered whole, so it is not what brings targets down;
  /// losses until the entry would expire are forgiven, here and at the peers.
  void OnServed(std::uint64_t fingerprint, Time now);

  /// Losses of targets to the content, here and at the peers.
  int Lost(std::uint64_t fingerprint, Time now) const;

  bool Refused(std::uint64_t fingerprint, Time now) const {
    return Lost(fingerprint, now) >= limit_;
  }

  void Expire(Time now);

  /// This entry's own counts.
  std::map<std::uint64_t, int> Own(Time now) const;

 private:
  struct Entry {
    std::map<TargetName, Time> last_by_target;
    int losses = 0;
    Time last;
  };

  bool Live(const Entry& entry, Time now) const {
    return now < entry.last + expiry_;
  }
  void DropOldest();

  const int limit_;
  const Duration expiry_;
  std::map<std::uint64_t, Entry> entries_;
  std::map<std::uint64_t, int> peers_;
  std::map<std::uint64_t, Time> served_;  ///< of contents with losses
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_POISON_TABLE_H_
