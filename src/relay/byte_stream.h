#ifndef HORNBEAMCLEAT_SRC_RELAY_BYTE_STREAM_H_
#define HORNBEAMCLEAT_SRC_RELAY_BYTE_STREAM_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "src/net/file_descriptor.h"

namespace hornbeamcleat {

class PollLoop;

/// How a connection ended at the other side.
enum class StreamEnd {
  kClean,   ///< the peer closed in order
  kBroken,  ///< reset, timed out or unreachable
};

/// One TCP connection on a loop, with an output buffer. Callbacks run on the
/// loop and may destroy the stream.
class ByteStream {
 public:
  struct Callbacks {
    std::function<void()> on_connected;
    std::function<void(std::string_view bytes)> on_bytes;
    std::function<void()> on_flushed;  ///< the output buffer became empty
    std::function<void(StreamEnd end)> on_end;
  };

  /// Takes an accepted connection.
  static std::unique_ptr<ByteStream> Accepted(PollLoop* loop, FileDescriptor fd,
                                              Duration silence_limit);

  /// Begins to connect; on_connected or on_end follows.
  /// @param silence_limit unacknowledged bytes or probes end the connection
  ///   after this time
  /// @throws Error with step "connect" if no socket is to be had
  static std::unique_ptr<ByteStream> Connect(PollLoop* loop,
                                             const Address& address,
                                             Duration silence_limit);

  virtual ~ByteStream() = default;

  virtual void SetCallbacks(Callbacks callbacks) = 0;

  /// Queues bytes and sends what the socket takes.
  virtual void Write(std::string_view bytes) = 0;

  /// Bytes queued and not yet taken by the socket.
  virtual std::size_t Unsent() const = 0;

  /// Whether any byte was handed to the socket.
  virtual bool AnySent() const = 0;

  /// Stops or goes on reading. While stopped, only a broken connection or a
  /// peer that closed is reported.
  virtual void SetReading(bool is_reading) = 0;

  /// Sends what is queued, then signals the end to the peer.
  virtual void FinishWriting() = 0;

  /// Closes with a reset, so that the peer takes nothing for complete.
  virtual void Abort() = 0;

  virtual Address Peer() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_BYTE_STREAM_H_
