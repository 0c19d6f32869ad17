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

/// Which targets are likely to have which prompt blocks cached: learned from
/// this entry's own dispatches, corrected by the targets' late cache events. A
/// gap in a target's events makes what is known of it unsure and halves its
/// worth; it does not empty it. Bounded in blocks, the least recently used ones
/// are forgotten first.
class PrefixIndex {
 public:
  static constexpr std::size_t kMaxBlocks = 65'536;
  static constexpr std::size_t kMaxHolders = 8;  ///< targets kept per block

  /// Depth of the cached prefix by target, in blocks.
  struct Match {
    std::vector<std::pair<const TargetState*, std::size_t>> depths;

    /// Blocks expected to be cached at the target.
    std::size_t Blocks(const TargetState* target) const;
  };

  /// Finds the targets that hold a prefix of the chained blocks. Looks at a
  /// logarithmic number of blocks.
  Match Find(const std::vector<std::uint64_t>& blocks) const;

  /// The target has been given a prompt with these blocks.
  void OnDispatch(const TargetState* target,
                  const std::vector<std::uint64_t>& blocks);

  /// Takes a target's cache events in order of arrival.
  void OnEvents(const TargetState* target,
                const std::vector<CacheEvent>& events);

  /// Forgets a target.
  void Drop(const TargetState* target);

  std::size_t Blocks() const { return blocks_.size(); }

 private:
  struct Block {
    std::vector<const TargetState*> holders;
    std::list<std::uint64_t>::iterator recency;
  };
  struct Stream {
    std::uint64_t next_sequence = 0;
    bool started = false;
    int unsure_events = 0;  ///< events until what is known is sure again
  };

  void Store(const TargetState* target, std::uint64_t hash);
  void Evict(const TargetState* target, std::uint64_t hash);

  std::unordered_map<std::uint64_t, Block> blocks_;
  std::list<std::uint64_t> recency_;  ///< most recent first
  std::map<const TargetState*, Stream> streams_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SCHEDULE_PREFIX_INDEX_H_
