#ifndef HORNBEAMCLEAT_SRC_CONTROL_LINK_SERVER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_LINK_SERVER_H_

#include <memory>

#include "hornbeamcleat/base/settings.h"
#include "src/link/link_message.h"

namespace hornbeamcleat {

class PollLoop;

/// Receives the events of a link.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  virtual void OnLinkUp() = 0;
  virtual void OnLinkDown() = 0;
  virtual void OnLinkMessage(const LinkMessage& message) = 0;
};

/// Control daemon's side of the link to the entry daemon of its VM. Serves one
/// entry at a time: a new connection replaces the old one.
class LinkServer {
 public:
  /// @param loop, handler must outlive the server
  /// @throws Error with step "listen for the entry"
  static std::unique_ptr<LinkServer> Make(const Address& listen, PollLoop* loop,
                                          LinkHandler* handler);

  virtual ~LinkServer() = default;

  /// Bound address, with the actual port.
  virtual Address ListenAddress() const = 0;

  /// Sends a message. It is dropped if no entry is connected.
  virtual void Send(const LinkMessage& message) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_LINK_SERVER_H_
