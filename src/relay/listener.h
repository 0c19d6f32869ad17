#ifndef HORNBEAMCLEAT_SRC_RELAY_LISTENER_H_
#define HORNBEAMCLEAT_SRC_RELAY_LISTENER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/net/file_descriptor.h"
#include "src/relay/caller_connection.h"

namespace hornbeamcleat {

class Clock;
class PollLoop;

/// Listening socket that owns the connections accepted on it.
class Listener {
 public:
  /// @param max_connections when reached, a stuck connection is closed for
  ///   each one that waits to be accepted
  /// @param delegate hooks of the connections; the listener sets on_closed
  /// @param socket_buffer_bytes size of the kernel's buffers of a connection,
  ///   each way; 0: the kernel's default
  /// @throws Error with step "listen"
  Listener(PollLoop* loop, const Clock* clock, const Address& address,
           int max_connections, CallerConnection::Delegate delegate,
           int socket_buffer_bytes = 0);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Bound address, with the actual port.
  Address Bound() const;
  int ConnectionCount() const { return static_cast<int>(connections_.size()); }
  int BusyConnections() const;
  void CloseIdleConnections();
  /// Closes connections whose targets still send while their callers hardly
  /// read. For when other requests wait for the slots of these targets.
  void CloseSlowReaders();
  /// Lets all requests in progress be answered before the process exits.
  void EndRequestsBeforeExit();
  void StopAccepting();

 private:
  void Accept();
  void CloseStuckConnection();
  /// Stops accepting until a connection is closed or a time has passed.
  void PauseAccepting();
  void ResumeAccepting();
  void OnClosed(std::uint64_t id);

  PollLoop* const loop_;
  const Clock* const clock_;
  const int max_connections_;
  const CallerConnection::Delegate delegate_;
  FileDescriptor fd_;
  bool is_accepting_ = true;
  bool is_paused_ = false;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<CallerConnection>> connections_;
  std::unique_ptr<TimerService::Subscription> resume_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_LISTENER_H_
