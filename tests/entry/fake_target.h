#ifndef HORNBEAMCLEAT_TESTS_ENTRY_FAKE_TARGET_H_
#define HORNBEAMCLEAT_TESTS_ENTRY_FAKE_TARGET_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/entry/http_peer.h"
#include "tests/net/socket_peer.h"

namespace hornbeamcleat {

/// HTTP request received by a fake target.
struct TargetCall {
  HttpHead head;
  std::string body;

  bool IsRun() const { return head.first_line.starts_with("POST "); }
  bool IsResume() const {
    return head.first_line.starts_with("GET /v1/streams/");
  }
  bool IsCancel() const {
    return head.first_line.starts_with("DELETE /v1/streams/");
  }
};

/// Target whose answers are scripted byte for byte by the test. Reads of load
/// and cache events get an empty object instead.
class FakeTarget {
 public:
  /// Answers a run, resume or cancel. The connection is closed on return.
  using Script = std::function<void(const TargetCall&, SocketPeer&)>;

  explicit FakeTarget(Script script)
      : script_(std::move(script)),
        server_([this](SocketPeer& peer) { Serve(peer); }) {}

  const Address& Listening() const { return server_.Listening(); }

  /// Number of calls of `kind` received.
  template <typename Kind>
  int Count(Kind kind) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int>(
        std::count_if(calls_.begin(), calls_.end(),
                      [&](const TargetCall& call) { return (call.*kind)(); }));
  }

  /// Waits until `n` calls of `kind` are received.
  template <typename Kind>
  bool WaitFor(Kind kind, int n) {
    std::unique_lock<std::mutex> lock(mutex_);
    return received_.wait_for(lock, kTestPatience, [&] {
      return std::count_if(
                 calls_.begin(), calls_.end(),
                 [&](const TargetCall& call) { return (call.*kind)(); }) >= n;
    });
  }

  TargetCall Last() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_.empty() ? TargetCall() : calls_.back();
  }

 private:
  void Serve(SocketPeer& peer) {
    TargetCall call;
    call.head = ReadHead(&peer);
    call.body = ReadBody(&peer, call.head);
    if (call.head.first_line.starts_with("GET /load") ||
        call.head.first_line.starts_with("GET /cache-events")) {
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
      return;
    }
    if (call.head.first_line.empty()) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      calls_.push_back(call);
    }
    received_.notify_all();
    script_(call, peer);
  }

  Script script_;
  std::mutex mutex_;
  std::condition_variable received_;
  std::vector<TargetCall> calls_;
  SocketServer server_;
};

/// Head of a streamed answer without a Content-Length.
inline constexpr std::string_view kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Connection: close\r\n\r\n";

/// Parts `first` to `last` with their offsets.
inline std::string Parts(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i) {
    const std::string n = std::to_string(i);
    text += "id: ";
    text += n;
    text += "\ndata: part";
    text += n;
    text += "\n\n";
  }
  return text;
}

inline constexpr std::string_view kStreamEnd = "data: [DONE]\n\n";

/// Complete answer of a target with the given status line, headers and body.
inline std::string PlainAnswer(const std::string& status,
                               const std::string& headers,
                               const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_ENTRY_FAKE_TARGET_H_
