#ifndef HORNBEAMCLEAT_SRC_RELAY_LISTENER_H_
#define HORNBEAMCLEAT_SRC_RELAY_LISTENER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "hornbeamcleat/base/settings.h"
#include "src/net/file_descriptor.h"
#include "src/relay/caller_connection.h"

namespace hornbeamcleat {

class Clock;
class PollLoop;

/// Listening socket that owns the connections accepted on it.
class Listener {
 public:
  /// @param delegate hooks of the connections; the listener sets on_closed
  /// @throws Error with step "listen"
  Listener(PollLoop* loop, const Clock* clock, const Address& address,
           int max_connections, CallerConnection::Delegate delegate);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Bound address, with the actual port.
  Address Bound() const;
  int ConnectionCount() const { return static_cast<int>(connections_.size()); }
  int BusyConnections() const;
  /// Buffered request body bytes of all connections.
  std::size_t BufferedBytes() const;
  void CloseIdleConnections();
  /// Lets all requests in progress be answered before the process exits.
  void EndRequestsBeforeExit();
  void StopAccepting();

 private:
  void Accept();
  void OnClosed(std::uint64_t id);

  PollLoop* const loop_;
  const Clock* const clock_;
  const int max_connections_;
  const CallerConnection::Delegate delegate_;
  FileDescriptor fd_;
  bool is_accepting_ = true;
  bool is_full_ = false;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<CallerConnection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_LISTENER_H_
