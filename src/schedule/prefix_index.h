#ifndef HORNBEAMCLEAT_SRC_SCHEDULE_PREFIX_INDEX_H_
#define HORNBEAMCLEAT_SRC_SCHEDULE_PREFIX_INDEX_H_

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

#include "hornbeamcleat/schedule/event.h"

namespace hornbeamcleat {

struct TargetState;

/// Index of the targets that are likely to have a prompt block cached. Learned
/// from this entry's own dispatches and corrected by the targets' delayed cache
/// events. After a gap in a target's events its blocks are kept but count half
/// until enough events have arrived in sequence. Bounded in blocks; the least
/// recently used ones are evicted first.
class PrefixIndex {
 public:
  static constexpr std::size_t kMaxBlocks = 65'536;
  static constexpr std::size_t kMaxHolders = 8;  ///< targets per block

  /// Depth of the cached prefix by target, in blocks.
  struct Match {
    std::vector<std::pair<const TargetState*, std::size_t>> depths;

    /// Number of blocks expected to be cached on the target.
    std::size_t Blocks(const TargetState* target) const;
  };

  /// Finds the targets that hold a prefix of the chained blocks. Probes a
  /// logarithmic number of blocks.
  Match Find(const std::vector<std::uint64_t>& blocks) const;

  /// Records that a prompt with these blocks was sent to the target.
  void OnDispatch(const TargetState* target,
                  const std::vector<std::uint64_t>& blocks);

  /// Applies a target's cache events in order of arrival.
  void OnEvents(const TargetState* target,
                const std::vector<CacheEvent>& events);

  void RemoveTarget(const TargetState* target);

  std::size_t Blocks() const { return blocks_.size(); }

 private:
  struct Block {
    std::vector<const TargetState*> holders;
    std::list<std::uint64_t>::iterator recency;
  };
  struct Stream {
    std::uint64_t next_sequence = 0;
    bool started = false;
    int events_until_trusted = 0;  ///< its blocks count half until 0
  };

  void Store(const TargetState* target, std::uint64_t hash);
  void Evict(const TargetState* target, std::uint64_t hash);

  std::unordered_map<std::uint64_t, Block> blocks_;
  std::list<std::uint64_t> recency_;  ///< most recent first
  std::map<const TargetState*, Stream> streams_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_PREFIX_INDEX_H_
