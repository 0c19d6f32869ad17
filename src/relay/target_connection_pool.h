#ifndef HORNBEAMCLEAT_SRC_RELAY_TARGET_CONNECTION_POOL_H_
#define HORNBEAMCLEAT_SRC_RELAY_TARGET_CONNECTION_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "src/relay/byte_stream.h"

namespace hornbeamcleat {

class Clock;

/// Idle connections to targets. A connection that receives bytes or its end
/// while idle is dropped.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(const Clock* clock) : clock_(clock) {}
  ~TargetConnectionPool();

  /// Keeps a connection whose answer has been read to the end.
  /// @param keep_for time that the target allows it to be idle
  void Release(std::unique_ptr<ByteStream> stream, Duration keep_for);

  /// A connection to the target that should still be open, or nullptr.
  std::unique_ptr<ByteStream> Acquire(const Address& target);

  /// Closes connections that have been idle for too long.
  void CloseExpired();

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
  std::uint64_t next_id_ = 0;
  std::map<Address, std::vector<Idle>> idle_;
  /// Streams whose callback is running; freed by the next sweep.
  std::vector<std::unique_ptr<ByteStream>> closed_streams_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_TARGET_CONNECTION_POOL_H_
