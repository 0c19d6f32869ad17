#ifndef HORNBEAMCLEAT_SRC_NET_CALLER_EXCHANGE_H_
#define HORNBEAMCLEAT_SRC_NET_CALLER_EXCHANGE_H_

#include <microhttpd.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// One HTTP request and its response on a libmicrohttpd server. Suspends its
/// connection while no response bytes are available.
class CallerExchange {
 public:
  CallerExchange(std::uint64_t handle, MHD_Connection* connection);
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  std::uint64_t Handle() const { return request_.handle; }
  CallerRequest* Request() { return &request_; }

  /// Socket of the caller's connection.
  int Socket() const;

  /// Adds bytes of the request's body.
  /// @return false once it is longer than `max_body`; the rest is dropped
  bool AddBody(std::string_view bytes, std::size_t max_body);
  bool TooLarge() const { return too_large_; }

  /// Marks the request as handed to the handler and waits for its answer.
  void Deliver();
  bool Delivered() const { return delivered_; }

  /// Sets a whole answer, or the head of a streamed one.
  void SetAnswer(const CallerAnswer& answer, bool streamed);
  bool Answered() const { return answered_; }

  /// Queues the response in libmicrohttpd. Call only from its access handler.
  MHD_Result QueueAnswer();

  /// Adds bytes of a streamed answer.
  /// @return false if more than `max_buffered` would wait; the exchange fails
  bool Write(std::string_view bytes, std::size_t max_buffered);
  void End();

  /// Closes the connection without ending the answer.
  void Fail();
  bool Failed() const { return failed_; }

  /// Suspends the connection until Wake.
  void Suspend();

 private:
  void Wake();
  ssize_t Read(char* out, std::size_t max);
  static ssize_t ReadCallback(void* self, std::uint64_t position, char* out,
                              std::size_t max);

  MHD_Connection* connection_;
  CallerRequest request_;
  CallerAnswer answer_;
  std::string buffer_;
  std::size_t buffer_sent_ = 0;
  bool too_large_ = false;
  bool delivered_ = false;
  bool answered_ = false;
  bool streamed_ = false;
  bool ended_ = false;
  bool failed_ = false;
  bool suspended_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_NET_CALLER_EXCHANGE_H_
