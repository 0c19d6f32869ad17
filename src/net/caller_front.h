#ifndef HORNBEAMCLEAT_SRC_NET_CALLER_FRONT_H_
#define HORNBEAMCLEAT_SRC_NET_CALLER_FRONT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/settings.h"

namespace hornbeamcleat {

/// HTTP request as a caller sent it, body included.
struct CallerRequest {
  std::uint64_t handle = 0;  ///< identifies the open exchange
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::map<std::string, std::string> query;
  std::string body;
};

/// Complete response, or the headers of a streamed one.
struct CallerAnswer {
  int status = 200;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  std::string body;  ///< empty for a streamed answer
};

/// Requests rejected before they reach the handler; totals since startup.
struct FrontRefusals {
  std::uint64_t malformed = 0;  ///< not valid HTTP
  std::uint64_t too_large = 0;  ///< body above the limit
  std::uint64_t too_many = 0;   ///< exchanges above the limit

  bool operator==(const FrontRefusals&) const = default;
};

/// Receives the events of a CallerFront. Called on the traffic thread.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  /// A complete request has arrived.
  virtual void OnRequest(CallerRequest request) = 0;

  /// The exchange ended: the response was sent in full or the caller
  /// disconnected. A half-closed connection counts as a disconnect.
  virtual void OnClosed(std::uint64_t handle, bool sent_whole) = 0;
};

/// HTTP server for callers that streams responses without a thread per
/// connection. Not thread-safe: belongs to one traffic loop's thread.
class CallerFront {
 public:
  /// Listens on `listen` (port 0 picks one).
  /// @param max_body greatest body taken, in bytes; larger ones get 413
  /// @param max_open greatest number of open exchanges; more get 503
  /// @param max_buffered bytes held for a slow caller; beyond it Write fails
  /// @throws Error with step "listen"
  static std::unique_ptr<CallerFront> Make(const Address& listen,
                                           std::size_t max_body,
                                           std::size_t max_open,
                                           std::size_t max_buffered,
                                           CallerHandler* handler);

  virtual ~CallerFront() = default;

  /// Address listened on, with the port that was picked.
  virtual Address Listening() const = 0;

  /// File descriptor that becomes readable when Run should be called.
  virtual int PollFd() const = 0;

  /// Does pending work without blocking.
  virtual void Run() = 0;

  /// Sends a whole answer.
  virtual void Answer(std::uint64_t handle, const CallerAnswer& answer) = 0;

  /// Begins a streamed answer.
  virtual void Begin(std::uint64_t handle, const CallerAnswer& head) = 0;

  /// Adds bytes to a streamed answer.
  /// @return false if the caller left or its buffer is full
  virtual bool Write(std::uint64_t handle, std::string_view bytes) = 0;

  /// Ends a streamed answer once all bytes are sent.
  virtual void End(std::uint64_t handle) = 0;

  /// Closes the caller's connection without ending its answer.
  virtual void Abandon(std::uint64_t handle) = 0;

  /// Stops accepting connections; open ones continue.
  virtual void Quiesce() = 0;

  /// Exchanges open now.
  virtual std::size_t Open() const = 0;

  virtual FrontRefusals Refusals() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_NET_CALLER_FRONT_H_
