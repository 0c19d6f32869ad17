#ifndef HORNBEAMCLEAT_SRC_AGREE_KEY_TABLE_H_
#define HORNBEAMCLEAT_SRC_AGREE_KEY_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Attempt that holds a key.
struct KeyHolder {
  std::string entry;
  std::uint64_t number = 0;
  RequestId id;

  bool operator==(const KeyHolder&) const = default;
};

/// Bounded table of keys and their holders. Keys are evicted in order of their
/// dates; the table has no information on keys dated at or before
/// EvictedThrough().
class KeyTable {
 public:
  explicit KeyTable(std::size_t max_keys) : max_keys_(max_keys) {}

  /// Returns the holder of `key`. Its `entry` is empty if there is none.
  KeyHolder Find(const std::string& key) const;

  /// Assigns `key` to `holder` unless it is held.
  /// @return whether the key was free
  bool Claim(const std::string& key, WallTime issued, const KeyHolder& holder);

  /// Removes `key` if attempt `number` of `entry` holds it.
  void Release(const std::string& key, const std::string& entry,
               std::uint64_t number);

  /// Evicts keys dated at or before `time`. EvictedThrough() never decreases.
  void EvictThrough(WallTime time);

  WallTime EvictedThrough() const { return evicted_through_; }
  std::size_t Size() const { return keys_.size(); }

 private:
  using ByIssueTime = std::multimap<WallTime, std::string_view>;
  struct KeyRecord {
    const std::string* entry = nullptr;
    std::uint64_t number = 0;
    RequestId id;
    ByIssueTime::iterator by_issue_time;
  };

  std::size_t max_keys_;
  WallTime evicted_through_ = WallTime::min();
  std::unordered_map<std::string, KeyRecord> keys_;
  ByIssueTime by_issue_time_;  ///< views into the keys of keys_
  std::set<std::string> entry_names_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_AGREE_KEY_TABLE_H_
