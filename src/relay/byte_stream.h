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

/// How the peer ended a connection.
enum class StreamEnd {
  kClean,   ///< orderly close by the peer
  kBroken,  ///< reset, timed out or unreachable
};

/// Non-blocking TCP connection with an output buffer. Callbacks run on the loop
/// and may destroy the stream.
class ByteStream {
 public:
  struct Callbacks {
    std::function<void()> on_connected;
    std::function<void(std::string_view bytes)> on_bytes;
    std::function<void()> on_flushed;  ///< the output buffer is empty
    /// The peer closed its sending side while reading is paused; unread bytes
    /// may remain. If unset, on_end reports the close after these bytes.
    std::function<void()> on_close_while_paused;
    std::function<void(StreamEnd end)> on_end;
  };

  /// Wraps an accepted connection.
  static std::unique_ptr<ByteStream> Accepted(PollLoop* loop, FileDescriptor fd,
                                              Duration user_timeout);

  /// Starts to connect; on_connected or on_end is called later.
  /// @param user_timeout the connection is broken after unacknowledged data or
  ///   keep-alive probes of this duration
  /// @throws Error with step "connect" if no socket can be created or connected
  static std::unique_ptr<ByteStream> Connect(PollLoop* loop,
                                             const Address& address,
                                             Duration user_timeout);

  virtual ~ByteStream() = default;

  virtual void SetCallbacks(Callbacks callbacks) = 0;

  /// Queues bytes and sends as many as the socket accepts.
  virtual void Write(std::string_view bytes) = 0;

  /// Like Write, for large data, which is not copied if nothing is queued.
  virtual void WriteOwned(std::string bytes) = 0;

  /// Queued bytes that the socket has not accepted yet.
  virtual std::size_t Unsent() const = 0;

  /// Written bytes that the peer's system has not acknowledged.
  virtual std::size_t Undelivered() const = 0;

  /// Memory of the output buffer.
  virtual std::size_t HeldBytes() const = 0;

  /// Whether the socket has accepted any byte.
  virtual bool AnySent() const = 0;

  /// Pauses or resumes reading. A broken connection is reported also while
  /// paused.
  virtual void SetReading(bool is_reading) = 0;

  /// Makes any close of the connection a reset, also one by the end of the
  /// process, until FinishWriting has sent all queued bytes. For data whose
  /// only frame is the end of the connection.
  virtual void ResetOnEarlyClose() = 0;

  /// Sends queued bytes, then shuts down the sending side.
  virtual void FinishWriting() = 0;

  /// Closes with a reset, so that the peer doesn't mistake the data for
  /// complete.
  virtual void Abort() = 0;

  virtual Address Peer() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_BYTE_STREAM_H_
