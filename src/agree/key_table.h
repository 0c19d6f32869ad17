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

/// Keys and their holders, bounded: what is forgotten raises the horizon, and
/// of keys dated at or before the horizon the table knows nothing.
class KeyTable {
 public:
  explicit KeyTable(std::size_t max_keys) : max_keys_(max_keys) {}

  /// Holder of `key`, or one with an empty entry.
  KeyHolder Find(const std::string& key) const;

  /// Takes `key` for `holder` unless it is held.
  /// @return whether it was free
  bool Take(const std::string& key, WallTime issued, const KeyHolder& holder);

  /// Frees `key` if attempt `number` of `entry` holds it.
  void Free(const std::string& key, const std::string& entry,
            std::uint64_t number);

  /// Forgets the keys dated at or before `horizon`, which never falls.
  void RaiseHorizon(WallTime horizon);

  WallTime Horizon() const { return horizon_; }
  std::size_t Size() const { return keys_.size(); }

 private:
  using ByDate = std::multimap<WallTime, std::string_view>;
  struct Slot {
    const std::string* entry = nullptr;
    std::uint64_t number = 0;
    RequestId id;
    ByDate::iterator dated;
  };

  std::size_t max_keys_;
  WallTime horizon_ = WallTime::min();
  std::unordered_map<std::string, Slot> keys_;
  ByDate by_date_;  ///< views of the keys of keys_
  std::set<std::string> entries_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_AGREE_KEY_TABLE_H_
