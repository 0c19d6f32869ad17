#ifndef HORNBEAMCLEAT_SRC_CONTROL_LINK_SERVER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_LINK_SERVER_H_

#include <memory>

#include "hornbeamcleat/base/settings.h"
#include "src/link/link_message.h"

namespace hornbeamcleat {

class PollLoop;

/// Takes what arrives over a link.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  virtual void OnLinkUp() = 0;
  virtual void OnLinkDown() = 0;
  virtual void OnLinkMessage(const LinkMessage& message) = 0;
};

/// Control daemon's side of the link with the entry daemon of its VM. One entry
/// at a time: a new connection takes the place of the old one.
class LinkServer {
 public:
  /// @param loop, handler must outlive the server
  /// @throws Error with step "listen for the entry"
  static std::unique_ptr<LinkServer> Make(const Address& listen, PollLoop* loop,
                                          LinkHandler* handler);

  virtual ~LinkServer() = default;

  /// Address listened on, with the port that was picked.
  virtual Address ListenAddress() const = 0;

  /// Sends a message; dropped while no entry is connected.
  virtual void Send(const LinkMessage& message) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_LINK_SERVER_H_
