#ifndef HORNBEAMCLEAT_TESTS_ENTRY_FAKE_CONTROL_H_
#define HORNBEAMCLEAT_TESTS_ENTRY_FAKE_CONTROL_H_

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/link/link_message.h"
#include "tests/net/socket_peer.h"

namespace hornbeamcleat {

/// Fake control daemon: sends one view and gives all intents the same decision.
class FakeControl {
 public:
  /// @param result decision on each intent; nullopt leaves them undecided
  FakeControl(ViewMessage view, std::optional<IntentResult> result)
      : view_(std::move(view)),
        result_(result),
        server_([this](SocketPeer& peer) { Serve(peer); }) {}

  const Address& Listening() const { return server_.Listening(); }

  /// Waits until a report that satisfies `accept` is received.
  template <typename Accept>
  bool WaitForReport(const Accept& accept) {
    std::unique_lock<std::mutex> lock(mutex_);
    return received_.wait_for(lock, kTestPatience, [&] {
      return std::any_of(reports_.begin(), reports_.end(), accept);
    });
  }

  /// Waits until the idempotency key of request `id` is released.
  bool WaitForRelease(const RequestId& id) {
    std::unique_lock<std::mutex> lock(mutex_);
    return received_.wait_for(lock, kTestPatience, [&] {
      return std::find(released_.begin(), released_.end(), id) !=
             released_.end();
    });
  }

 private:
  void Serve(SocketPeer& peer) {
    peer.Send(EncodeLinkFrame(view_));
    std::string buffer;
    std::string byte;
    while (!(byte = peer.ReadExactly(1)).empty()) {
      buffer += byte;
      LinkMessage message;
      if (DecodeLinkFrame(&buffer, &message)) {
        Handle(message, peer);
      }
    }
  }

  void Handle(const LinkMessage& message, SocketPeer& peer) {
    if (const ProposeMessage* propose = std::get_if<ProposeMessage>(&message)) {
      if (result_) {
        DecisionMessage decision;
        decision.decision.id = propose->id;
        decision.decision.result = *result_;
        peer.Send(EncodeLinkFrame(decision));
      }
    } else if (const ReportMessage* report =
                   std::get_if<ReportMessage>(&message)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      reports_.push_back(*report);
      received_.notify_all();
    } else if (const ReleaseMessage* release =
                   std::get_if<ReleaseMessage>(&message)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      released_.push_back(release->id);
      received_.notify_all();
    }
  }

  ViewMessage view_;
  std::optional<IntentResult> result_;
  std::mutex mutex_;
  std::condition_variable received_;
  std::vector<ReportMessage> reports_;
  std::vector<RequestId> released_;
  SocketServer server_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_ENTRY_FAKE_CONTROL_H_
