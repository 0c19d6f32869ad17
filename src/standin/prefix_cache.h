#ifndef HORNBEAMCLEAT_SRC_STANDIN_PREFIX_CACHE_H_
#define HORNBEAMCLEAT_SRC_STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamcleat {

/// Bytes of prompt text in one block.
inline constexpr std::size_t kPromptBlockBytes = 64;

/// Chained hashes of the whole blocks of `prompt`, first block first.
std::vector<std::uint64_t> PromptBlocks(std::string_view prompt);

/// Change of a prefix cache.
struct CacheEvent {
  std::uint64_t sequence = 0;  ///< from 1
  bool stored = false;         ///< false: evicted
  std::uint64_t block = 0;

  bool operator==(const CacheEvent&) const = default;
};

/// Prompt blocks an engine holds; the least recently used leave first.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}

  /// Number of leading blocks held; marks them used.
  std::size_t Match(const std::vector<std::uint64_t>& blocks);

  /// Stores all of `blocks`, evicting others.
  void Store(const std::vector<std::uint64_t>& blocks);

  /// Changes since the last call.
  std::vector<CacheEvent> TakeEvents();

 private:
  void Record(bool stored, std::uint64_t block);

  std::size_t capacity_;
  std::list<std::uint64_t> order_;  ///< most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> held_;
  std::vector<CacheEvent> events_;
  std::uint64_t sequence_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_PREFIX_CACHE_H_
