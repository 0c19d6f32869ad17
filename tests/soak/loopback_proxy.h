#ifndef HORNBEAMCLEAT_TESTS_SOAK_LOOPBACK_PROXY_H_
#define HORNBEAMCLEAT_TESTS_SOAK_LOOPBACK_PROXY_H_

#include <list>
#include <memory>
#include <string>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/net/file_descriptor.h"
#include "src/relay/byte_stream.h"

namespace hornbeamcleat {

/// Passes TCP connections on to one address and harms them as told.
class LoopbackProxy {
 public:
  enum class Mode {
    kPass,
    kDelay,   ///< bytes towards the caller come late
    kSilent,  ///< nothing passes either way, connections stay open
    kOneWay,  ///< requests pass, answers don't
    kRefuse,  ///< new connections are reset, as by an ended process
  };

  LoopbackProxy(PollLoop* loop, const Clock* clock, const Address& to);
  ~LoopbackProxy();

  Address Bound() const;
  void SetMode(Mode mode);
  /// Whether requests reach the target as HTTP/1.0, so that a response without
  /// a length ends with its connection.
  void SetHttp10(bool is_http10) { is_http10_ = is_http10; }
  /// Resets all connections that are open.
  void ResetAll();

 private:
  struct Pair {
    std::unique_ptr<ByteStream> caller;
    std::unique_ptr<ByteStream> target;
    std::string to_caller;  ///< held back
    std::string to_target;
    std::unique_ptr<TimerService::Subscription> delay;
    bool is_dead = false;
  };

  void Accept();
  void Attach(const std::shared_ptr<Pair>& pair);
  void Forward(const std::shared_ptr<Pair>& pair);
  void Close(const std::shared_ptr<Pair>& pair, StreamEnd end);

  PollLoop* const loop_;
  const Clock* const clock_;
  const Address to_;
  FileDescriptor fd_;
  Mode mode_ = Mode::kPass;
  bool is_http10_ = false;
  std::list<std::shared_ptr<Pair>> pairs_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_SOAK_LOOPBACK_PROXY_H_
