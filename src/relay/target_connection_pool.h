#ifndef HORNBEAMCLEAT_SRC_RELAY_TARGET_CONNECTION_POOL_H_
#define HORNBEAMCLEAT_SRC_RELAY_TARGET_CONNECTION_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "src/relay/byte_stream.h"

namespace hornbeamcleat {

class Clock;

/// Pool of idle connections to targets. An idle connection that receives data
/// or is closed by the target is removed.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(const Clock* clock) : clock_(clock) {}
  ~TargetConnectionPool();

  /// Returns a connection to the pool after a complete response.
  /// @param keep_for how long it may be reused
  void Release(std::unique_ptr<ByteStream> stream, Duration keep_for);

  /// Removes and returns an unexpired connection to the target, or nullptr.
  std::unique_ptr<ByteStream> Acquire(const Address& target);

  /// Closes connections that have expired.
  void CloseExpired();

  /// Called with bytes that arrive on an idle connection, which is closed.
  void SetOnUnsolicited(
      std::function<void(const Address&, std::string_view)> on_unsolicited) {
    on_unsolicited_ = std::move(on_unsolicited);
  }

  /// Closes all connections to a target.
  void Drop(const Address& target);

 private:
  struct Idle {
    std::uint64_t id = 0;
    std::unique_ptr<ByteStream> stream;
    Time usable_until;
  };

  void Remove(const Address& target, std::uint64_t id);

  const Clock* const clock_;
  std::function<void(const Address&, std::string_view)> on_unsolicited_;
  std::uint64_t next_id_ = 0;
  std::map<Address, std::vector<Idle>> idle_;
  /// Streams whose callback may be running; freed by the next CloseExpired.
  std::vector<std::unique_ptr<ByteStream>> closed_streams_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_TARGET_CONNECTION_POOL_H_
