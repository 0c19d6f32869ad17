#include "src/relay/caller_connection.h"

#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/relay/byte_stream.h"
#include "src/relay/http_writer.h"

namespace hornbeamcleat {
namespace {

/// Time for the caller to close its side once the last response is sent.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);
/// Pipelined bytes above which reading pauses while a request is processed.
constexpr std::size_t kMaxPipelinedBytes = 65'536;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

class Connection : public CallerConnection, private ResponseSink {
 public:
  Connection(PollLoop* loop, const Clock* clock, FileDescriptor fd,
             Delegate delegate)
      : loop_(loop), clock_(clock), delegate_(std::move(delegate)) {
    options_ = delegate_.options();
    stream_ = ByteStream::Accepted(loop, std::move(fd), options_.user_timeout);
    ByteStream::Callbacks callbacks;
    callbacks.on_bytes = [this](std::string_view bytes) { OnBytes(bytes); };
    callbacks.on_flushed = [this] { OnFlushed(); };
    callbacks.on_close_while_paused = [this] { OnEnd(); };
    callbacks.on_end = [this](StreamEnd) { OnEnd(); };
    stream_->SetCallbacks(std::move(callbacks));
    AwaitRequest();
  }

  ~Connection() override {
    *alive_ = false;
    if (handler_ != nullptr) {
      handler_->Cancel();
    }
  }

  bool IsBusy() const override {
    return state_ == State::kHandling ||
           (state_ == State::kReading && parser_->Started()) ||
           (state_ == State::kLingering && stream_->Unsent() > 0);
  }

  std::size_t BufferedBytes() const override {
    return state_ == State::kReading ? parser_->Body()->size() : body_bytes_;
  }

  void EndBeforeExit() override {
    if (handler_ != nullptr) {
      handler_->EndBeforeExit();
    }
  }

  void CloseIfIdle() override {
    if (state_ == State::kReading && !parser_->Started()) {
      Linger();
    }
  }

 private:
  enum class State {
    kReading,
    kHandling,
    kLingering,  ///< the last response is being sent
    kClosed,
  };

  void AwaitRequest() {
    options_ = delegate_.options();
    parser_ = HttpParser::ForRequest(
        {options_.limits.max_header_bytes, options_.limits.max_body_bytes});
    state_ = State::kReading;
    continue_sent_ = false;
    body_bytes_ = 0;
    SetTimer(options_.limits.idle_timeout, [this] { Linger(); });
  }

  void SetTimer(Duration after, std::function<void()> work) {
    timer_ = loop_->Timers()->At(clock_->Now() + after,
                                 [work = std::move(work)](Time) { work(); });
  }

  void OnBytes(std::string_view bytes) {
    if (state_ == State::kHandling) {
      pipelined_bytes_.append(bytes);
      if (pipelined_bytes_.size() > kMaxPipelinedBytes) {
        stream_->SetReading(false);
      }
    } else if (state_ == State::kReading) {
      Parse(bytes);
    }
  }

  void Parse(std::string_view bytes) {
    if (!parser_->Started()) {
      arrival_ = clock_->Now();
      SetTimer(options_.limits.header_timeout, [this] { Reject(408); });
    }
    const std::size_t n = parser_->Feed(bytes);
    bytes.remove_prefix(n);
    switch (parser_->Error()) {
      case ParseError::kNone:
        break;
      case ParseError::kMalformed:
        Reject(400);
        return;
      case ParseError::kHeaderTooLong:
        Reject(431);
        return;
      case ParseError::kBodyTooLong:
        Reject(413);
        return;
    }
    if (parser_->HeadDone() && !parser_->Done()) {
      OnBodyProgress();
      return;
    }
    if (parser_->Done()) {
      pipelined_bytes_.append(bytes);
      Handle();
    }
  }

  void OnBodyProgress() {
    // Each part of the body restarts the timer, so that only a stalled body
    // times out.
    SetTimer(options_.limits.idle_timeout, [this] { Reject(408); });
    if (!delegate_.may_buffer(parser_->Body()->size())) {
      Reject(503);
      return;
    }
    const std::string* expect = FindHeader(parser_->Head().headers, "Expect");
    if (expect != nullptr && !continue_sent_ &&
        HeaderNamesEqual(*expect, "100-continue")) {
      continue_sent_ = true;
      stream_->Write(kContinue);
    }
  }

  void Handle() {
    timer_.reset();
    CallerRequest request;
    request.head = parser_->Head();
    request.body = std::move(*parser_->Body());
    request.arrival = arrival_;
    body_bytes_ = request.body.size();
    // HTTP/1.0 requires a Connection: keep-alive response header, which is not
    // sent, so these connections are closed.
    keep_alive_ = request.head.keep_alive && request.head.minor_version >= 1;
    minor_version_ = request.head.minor_version;
    is_head_ = request.head.method == "HEAD";
    state_ = State::kHandling;
    is_chunked_ = false;
    const std::shared_ptr<bool> alive = alive_;
    std::unique_ptr<RequestHandler> handler =
        delegate_.handle(std::move(request), this);
    if (*alive && state_ == State::kHandling && !responded_before_return_) {
      handler_ = std::move(handler);
    } else if (*alive) {
      responded_before_return_ = false;
    }
  }

  // The parser can't find the start of the next request, so the connection is
  // closed after this response.
  void Reject(int status) {
    timer_.reset();
    delegate_.on_rejected(ReasonPhrase(status));
    keep_alive_ = false;
    HeaderList headers;
    if (status == 503) {
      headers.push_back({"Retry-After", "1"});
    }
    stream_->Write(FormatResponseHead(status, "", headers, {0, false, true}));
    Linger();
  }

  bool ClosesAfterResponse() const {
    return !keep_alive_ || delegate_.is_draining();
  }

  void SendResponse(int status, std::string_view reason,
                    const HeaderList& headers, std::string_view body) override {
    closes_after_response_ = ClosesAfterResponse();
    std::string bytes = FormatResponseHead(
        status, reason, headers, {body.size(), false, closes_after_response_});
    if (!is_head_) {
      bytes.append(body);
    }
    stream_->Write(bytes);
    FinishResponse();
  }

  void BeginBody(int status, std::string_view reason, const HeaderList& headers,
                 std::optional<std::uint64_t> length) override {
    is_chunked_ = !length.has_value() && minor_version_ >= 1;
    const bool ends_with_connection = !length.has_value() && !is_chunked_;
    closes_after_response_ = ClosesAfterResponse() || ends_with_connection;
    if (ends_with_connection) {
      stream_->ResetOnEarlyClose();
    }
    stream_->Write(
        FormatResponseHead(status, reason, headers,
                           {length, is_chunked_, closes_after_response_}));
  }

  void SendBody(std::string_view bytes) override {
    if (is_head_) {
      return;
    }
    if (is_chunked_) {
      stream_->Write(FormatChunk(bytes));
    } else {
      stream_->Write(bytes);
    }
  }

  void EndBody() override {
    if (is_chunked_ && !is_head_) {
      stream_->Write(kLastChunk);
    }
    FinishResponse();
  }

  void Abort() override {
    stream_->Abort();
    Close();
  }

  std::size_t Unsent() const override { return stream_->Unsent(); }

  void FinishResponse() {
    responded_before_return_ = handler_ == nullptr;
    // The handler may be on the call stack, so it is freed from the loop.
    PostIfAlive(
        [handler = std::shared_ptr<RequestHandler>(std::move(handler_))] {});
    if (closes_after_response_) {
      Linger();
      return;
    }
    PostIfAlive([this] { ReadNextRequest(); });
  }

  void ReadNextRequest() {
    responded_before_return_ = false;
    if (state_ != State::kHandling) {
      return;
    }
    AwaitRequest();
    stream_->SetReading(true);
    if (!pipelined_bytes_.empty()) {
      const std::string bytes = std::move(pipelined_bytes_);
      pipelined_bytes_.clear();
      Parse(bytes);
    }
  }

  // Runs `work` on the loop unless the connection has been destroyed by then.
  void PostIfAlive(std::function<void()> work) {
    loop_->Post([alive = alive_, work = std::move(work)] {
      if (*alive) {
        work();
      }
    });
  }

  void OnFlushed() {
    if (handler_ != nullptr) {
      handler_->OnFlushed();
    } else if (state_ == State::kLingering) {
      AwaitLingerEnd();
    }
  }

  void Linger() {
    if (state_ == State::kClosed) {
      return;
    }
    state_ = State::kLingering;
    stream_->FinishWriting();
    stream_->SetReading(true);
    progress_at_ = clock_->Now();
    AwaitLingerEnd();
  }

  void AwaitLingerEnd() {
    unsent_at_check_ = stream_->Unsent();
    SetTimer(kLingerTimeout, [this] { OnLingerTimeout(); });
  }

  // Unsent bytes are kept as long as the caller reads some of them.
  void OnLingerTimeout() {
    if (unsent_at_check_ == 0) {
      Close();
      return;
    }
    const Time now = clock_->Now();
    if (stream_->Unsent() < unsent_at_check_) {
      progress_at_ = now;
    } else if (now - progress_at_ >= options_.user_timeout) {
      ReportUnsentResponse();
      Abort();
      return;
    }
    AwaitLingerEnd();
  }

  // A caller that closes its sending side no longer waits for the response, so
  // a request in progress is cancelled.
  void OnEnd() {
    ReportUnsentResponse();
    Close();
  }

  void ReportUnsentResponse() {
    if (state_ == State::kLingering && stream_->Unsent() > 0) {
      delegate_.on_response_cut(stream_->Unsent());
    }
  }

  void Close() {
    if (state_ == State::kClosed) {
      return;
    }
    state_ = State::kClosed;
    timer_.reset();
    if (handler_ != nullptr) {
      handler_->Cancel();
    }
    // The handler may be on the call stack, so it is freed from the loop.
    PostIfAlive(
        [handler = std::shared_ptr<RequestHandler>(std::move(handler_))] {});
    const std::function<void()> on_closed = delegate_.on_closed;
    on_closed();
  }

  PollLoop* const loop_;
  const Clock* const clock_;
  const Delegate delegate_;
  Options options_;
  std::unique_ptr<ByteStream> stream_;
  std::unique_ptr<HttpParser> parser_;
  std::unique_ptr<RequestHandler> handler_;
  std::unique_ptr<TimerService::Subscription> timer_;
  std::string pipelined_bytes_;
  std::size_t body_bytes_ = 0;
  State state_ = State::kReading;
  std::size_t unsent_at_check_ = 0;  ///< when the linger timer was set
  Time progress_at_;                 ///< last time that unsent bytes went out
  Time arrival_;
  bool keep_alive_ = true;
  bool is_head_ = false;
  bool is_chunked_ = false;
  bool closes_after_response_ = false;
  bool continue_sent_ = false;
  bool responded_before_return_ = false;  ///< before `handle` returned
  int minor_version_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

std::unique_ptr<CallerConnection> CallerConnection::Make(PollLoop* loop,
                                                         const Clock* clock,
                                                         FileDescriptor fd,
                                                         Delegate delegate) {
  return std::make_unique<Connection>(loop, clock, std::move(fd),
                                      std::move(delegate));
}

}  // namespace hornbeamcleat
