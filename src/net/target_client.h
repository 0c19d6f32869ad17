#ifndef HORNBEAMCLEAT_SRC_NET_TARGET_CLIENT_H_
#define HORNBEAMCLEAT_SRC_NET_TARGET_CLIENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// HTTP request to a target.
struct TargetRequest {
  std::uint64_t handle = 0;  ///< chosen by the user of the client, unique
  std::string address;       ///< IP:PORT
  std::string method = "POST";
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration timeout{0};             ///< of the whole exchange; 0: none
  std::size_t max_body_bytes = 0;  ///< of the answer; 0: unlimited
};

/// How an exchange with a target ended.
enum class TargetEnd {
  kComplete,      ///< the answer's body arrived to its end
  kNotConnected,  ///< no byte of the request can have reached the target
  kBroken,        ///< the connection failed after sending began
};

/// Receives the events of a TargetClient. Called on the traffic thread.
class TargetHandler {
 public:
  virtual ~TargetHandler() = default;

  /// The connection is established; sending of the request starts next.
  virtual void OnSending(std::uint64_t handle) = 0;

  /// The answer's head arrived; header names are in lower case.
  virtual void OnHead(std::uint64_t handle, int status,
                      const std::map<std::string, std::string>& headers) = 0;

  /// Bytes of the answer's body arrived.
  virtual void OnBody(std::uint64_t handle, std::string_view bytes) = 0;

  /// The exchange ended; the handle is free.
  virtual void OnEnd(std::uint64_t handle, TargetEnd end,
                     const std::string& cause) = 0;
};

/// HTTP client for targets without a thread per exchange. Each exchange uses
/// its own connection, so libcurl never resends a request and a dead
/// connection is never reused. Not thread-safe: belongs to one traffic loop's
/// thread.
class TargetClient {
 public:
  static std::unique_ptr<TargetClient> Make(TargetHandler* handler);

  virtual ~TargetClient() = default;

  /// Begins an exchange.
  virtual void Begin(const TargetRequest& request) = 0;

  /// Closes the exchange's connection; OnEnd is not called.
  virtual void Abort(std::uint64_t handle) = 0;

  /// File descriptor that becomes readable when Run should be called.
  virtual int PollFd() const = 0;

  /// Time until Run must be called even if PollFd isn't readable.
  virtual Duration NextRun() const = 0;

  /// Does pending work without blocking.
  virtual void Run() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_NET_TARGET_CLIENT_H_
