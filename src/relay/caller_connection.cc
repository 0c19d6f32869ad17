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
constexpr std::size_t kMaxPipelinedBytes = 16'384;
/// Copies of a body while its request is processed: the request, which may be
/// sent again, and the output buffer of the target's connection.
constexpr std::size_t kBodyCopies = 2;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Bytes that were transferred lately. The window begins at the start of a phase
// or up to twice kWindow ago, so that a burst at the start doesn't hide that
// nothing has come since.
class ProgressMeter {
 public:
  struct Sample {
    Duration since{0};
    std::size_t bytes = 0;
  };

  void Restart(Time now, std::size_t total) { older_ = newer_ = {now, total}; }

  /// @param total bytes so far, including those before the restart
  Sample Measure(Time now, std::size_t total) {
    if (now - newer_.at >= kWindow) {
      older_ = newer_;
      newer_ = {now, total};
    }
    return {now - older_.at, total - older_.total};
  }

 private:
  static constexpr Duration kWindow = std::chrono::milliseconds(500);

  struct Mark {
    Time at;
    std::size_t total = 0;
  };
  Mark older_;
  Mark newer_;
};

class Connection : public CallerConnection, private ResponseSink {
 public:
  Connection(PollLoop* loop, const Clock* clock, FileDescriptor fd,
             Delegate delegate)
      : loop_(loop),
        clock_(clock),
        delegate_(std::move(delegate)),
        held_(delegate_.budget) {
    options_ = delegate_.options();
    held_.SetReclaim([this] { Evict(CloseCause::kMemory); });
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

  CallerProgress Progress(Time now) override {
    using Kind = CallerProgress::Kind;
    const std::size_t unsent = stream_->Unsent();
    if (unsent > 0 && state_ != State::kReading) {
      const ProgressMeter::Sample sent =
          send_meter_.Measure(now, sending_bytes_ - unsent);
      return {Kind::kSending, sent.since, sent.bytes, handler_ == nullptr};
    }
    switch (state_) {
      case State::kReading: {
        if (was_answered_ && !parser_->Started()) {
          return {Kind::kIdle, now - phase_at_, 0};
        }
        const ProgressMeter::Sample received =
            receive_meter_.Measure(now, received_bytes_);
        return {Kind::kReceiving, received.since, received.bytes};
      }
      case State::kLingering:
        return {Kind::kEnding, now - phase_at_, 0};
      case State::kHandling:
      case State::kClosed:
        break;
    }
    return {};
  }

  void Evict(CloseCause cause) override {
    if (state_ == State::kClosed) {
      return;
    }
    if (delegate_.on_evicted) {
      delegate_.on_evicted(cause);
    }
    if (state_ == State::kReading && cause == CloseCause::kMemory) {
      Reject(503);
      return;
    }
    ReportUnsentResponse();
    Abort();
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
    request_bytes_ = 0;
    received_bytes_ = 0;
    phase_at_ = clock_->Now();
    receive_meter_.Restart(phase_at_, 0);
    UpdateHeld();
    SetTimer(options_.limits.idle_timeout, [this] { Linger(); });
  }

  void SetTimer(Duration after, std::function<void()> work) {
    timer_ = loop_->Timers()->At(clock_->Now() + after,
                                 [work = std::move(work)](Time) { work(); });
  }

  void OnBytes(std::string_view bytes) {
    if (state_ == State::kHandling) {
      OnPipelined(bytes);
    } else if (state_ == State::kReading) {
      Parse(bytes);
    }
  }

  void OnPipelined(std::string_view bytes) {
    pipelined_bytes_.append(bytes);
    UpdateHeld();
    if (!held_.MakeRoom()) {
      // The request in progress is served; those behind it have not run.
      drops_pipelined_ = true;
    }
    if (drops_pipelined_) {
      std::string().swap(pipelined_bytes_);
      UpdateHeld();
    }
    if (drops_pipelined_ || pipelined_bytes_.size() > kMaxPipelinedBytes) {
      stream_->SetReading(false);
    }
  }

  void Parse(std::string_view bytes) {
    if (!parser_->Started()) {
      arrival_ = clock_->Now();
      phase_at_ = arrival_;
      receive_meter_.Restart(arrival_, 0);
      SetTimer(options_.limits.header_timeout, [this] { Reject(408); });
    }
    received_bytes_ += bytes.size();
    held_.Set(parser_->HeldBytes() + bytes.size());
    if (!held_.MakeRoom()) {
      Reject(503);
      return;
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
    // Fields take more memory than the bytes that were counted before.
    UpdateHeld();
    if (!held_.MakeRoom()) {
      Reject(503);
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
    if (delegate_.may_buffer &&
        !delegate_.may_buffer(parser_->Body()->size())) {
      Reject(503);
      return;
    }
    const std::string* expect = FindHeader(parser_->Head().headers, "Expect");
    if (expect != nullptr && !continue_sent_ &&
        HeaderNamesEqual(*expect, "100-continue")) {
      continue_sent_ = true;
      Write(kContinue);
    }
  }

  void Handle() {
    timer_.reset();
    request_bytes_ =
        parser_->HeldBytes() + (kBodyCopies - 1) * parser_->Body()->size();
    held_.Set(request_bytes_ + pipelined_bytes_.size());
    if (!held_.MakeRoom()) {
      Reject(503);
      return;
    }
    CallerRequest request;
    request.head = parser_->TakeHead();
    request.body = std::move(*parser_->Body());
    request.arrival = arrival_;
    parser_.reset();
    // HTTP/1.0 requires a Connection: keep-alive response header, which is not
    // sent, so these connections are closed.
    keep_alive_ = request.head.keep_alive && request.head.minor_version >= 1;
    minor_version_ = request.head.minor_version;
    is_head_ = request.head.method == "HEAD";
    state_ = State::kHandling;
    is_chunked_ = false;
    is_response_done_ = false;
    UpdateHeld();
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
    Write(FormatResponseHead(status, "", headers, {0, false, true}));
    Linger();
  }

  bool ClosesAfterResponse() const {
    return !keep_alive_ || drops_pipelined_ || delegate_.is_draining();
  }

  void SendResponse(int status, std::string_view reason,
                    const HeaderList& headers, std::string_view body) override {
    closes_after_response_ = ClosesAfterResponse();
    std::string bytes = FormatResponseHead(
        status, reason, headers, {body.size(), false, closes_after_response_});
    if (!is_head_) {
      bytes.append(body);
    }
    Write(bytes);
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
    Write(FormatResponseHead(status, reason, headers,
                             {length, is_chunked_, closes_after_response_}));
  }

  void SendBody(std::string_view bytes) override {
    if (is_head_) {
      return;
    }
    if (is_chunked_) {
      Write(FormatChunk(bytes));
    } else {
      Write(bytes);
    }
  }

  void EndBody() override {
    if (is_chunked_ && !is_head_) {
      Write(kLastChunk);
    }
    FinishResponse();
  }

  void Abort() override {
    stream_->Abort();
    Close();
  }

  std::size_t Unsent() const override { return stream_->Unsent(); }

  void Write(std::string_view bytes) {
    const bool was_empty = stream_->Unsent() == 0;
    sending_bytes_ = was_empty ? bytes.size() : sending_bytes_ + bytes.size();
    stream_->Write(bytes);
    if (was_empty) {
      // What the kernel's buffer takes at once has not been read by the caller.
      send_meter_.Restart(clock_->Now(), sending_bytes_ - stream_->Unsent());
    }
    UpdateHeld();
  }

  // A request in progress is never ended for the memory of others.
  void UpdateHeld() {
    if (state_ == State::kClosed) {
      return;
    }
    const bool is_in_progress =
        state_ == State::kHandling && !is_response_done_;
    const std::size_t request =
        parser_ != nullptr ? parser_->HeldBytes() : request_bytes_;
    held_.Set(request + pipelined_bytes_.size() + stream_->HeldBytes());
    held_.SetReclaimable(!is_in_progress);
  }

  void FinishResponse() {
    is_response_done_ = true;
    was_answered_ = true;
    request_bytes_ = 0;
    UpdateHeld();
    responded_before_return_ = handler_ == nullptr;
    // The handler may be on the call stack, so it is freed from the loop.
    PostIfAlive(
        [handler = std::shared_ptr<RequestHandler>(std::move(handler_))] {});
    if (closes_after_response_ || drops_pipelined_) {
      Linger();
    }
    PostIfAlive([this] { OnResponseDone(); });
  }

  // Runs from the loop, since the response may be evicted.
  void OnResponseDone() {
    responded_before_return_ = false;
    if (state_ == State::kClosed) {
      return;
    }
    if (stream_->Unsent() > 0 && !held_.MakeRoom()) {
      Evict(CloseCause::kMemory);
      return;
    }
    if (state_ != State::kHandling) {
      return;
    }
    if (stream_->Unsent() > 0) {
      AwaitFlush();
    } else {
      ReadNextRequest();
    }
  }

  // The caller may read slowly, but not stop.
  void AwaitFlush() {
    is_flushing_ = true;
    progress_at_ = clock_->Now();
    CheckFlushLater();
  }

  void CheckFlushLater() {
    unsent_at_check_ = stream_->Unsent();
    SetTimer(kLingerTimeout, [this] { CheckFlush(); });
  }

  void CheckFlush() {
    const Time now = clock_->Now();
    if (stream_->Unsent() < unsent_at_check_) {
      progress_at_ = now;
    } else if (now - progress_at_ >= options_.limits.idle_timeout) {
      ReportUnsentResponse();
      Abort();
      return;
    }
    CheckFlushLater();
  }

  void ReadNextRequest() {
    if (state_ != State::kHandling || !is_response_done_) {
      return;
    }
    // Where the next request starts is unknown.
    if (drops_pipelined_) {
      Linger();
      return;
    }
    AwaitRequest();
    stream_->SetReading(true);
    if (!pipelined_bytes_.empty()) {
      const std::string bytes = std::exchange(pipelined_bytes_, {});
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
    UpdateHeld();
    if (handler_ != nullptr) {
      handler_->OnFlushed();
    } else if (state_ == State::kLingering) {
      AwaitLingerEnd();
    } else if (std::exchange(is_flushing_, false)) {
      PostIfAlive([this] { ReadNextRequest(); });
    }
  }

  void Linger() {
    if (state_ == State::kClosed) {
      return;
    }
    state_ = State::kLingering;
    phase_at_ = clock_->Now();
    parser_.reset();
    request_bytes_ = 0;
    std::string().swap(pipelined_bytes_);
    UpdateHeld();
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
    const bool is_sending = state_ == State::kLingering ||
                            (state_ == State::kHandling && is_response_done_);
    if (is_sending && stream_->Unsent() > 0) {
      delegate_.on_response_cut(stream_->Unsent());
    }
  }

  void Close() {
    if (state_ == State::kClosed) {
      return;
    }
    state_ = State::kClosed;
    timer_.reset();
    held_.SetReclaimable(false);
    held_.Set(0);
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
  BufferBudget::Share held_;
  Options options_;
  std::unique_ptr<ByteStream> stream_;
  std::unique_ptr<HttpParser> parser_;
  std::unique_ptr<RequestHandler> handler_;
  std::unique_ptr<TimerService::Subscription> timer_;
  std::string pipelined_bytes_;
  std::size_t request_bytes_ = 0;   ///< in memory, of the request in progress
  std::size_t received_bytes_ = 0;  ///< of the request that is being received
  std::size_t sending_bytes_ = 0;   ///< written since the output was empty
  ProgressMeter send_meter_;        ///< since the output was empty
  ProgressMeter receive_meter_;     ///< of the request that is being received
  Time phase_at_;  ///< when the connection began to wait, receive or linger
  State state_ = State::kReading;
  std::size_t unsent_at_check_ = 0;  ///< when the linger timer was set
  Time progress_at_;                 ///< last time that unsent bytes went out
  Time arrival_;
  bool keep_alive_ = true;
  bool is_head_ = false;
  bool is_chunked_ = false;
  bool closes_after_response_ = false;
  bool continue_sent_ = false;
  bool is_response_done_ = false;         ///< complete, but maybe not sent
  bool drops_pipelined_ = false;          ///< no memory for further requests
  bool is_flushing_ = false;              ///< waits until the response is sent
  bool was_answered_ = false;             ///< any request of this connection
  bool responded_before_return_ = false;  ///< before `handle` returned
  int minor_version_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

const char* CloseCauseName(CloseCause cause) {
  switch (cause) {
    case CloseCause::kStuck:
      return "stuck";
    case CloseCause::kMemory:
      return "memory";
    case CloseCause::kSlowReader:
      return "slow_reader";
  }
  return "unknown";
}

std::unique_ptr<CallerConnection> CallerConnection::Make(PollLoop* loop,
                                                         const Clock* clock,
                                                         FileDescriptor fd,
                                                         Delegate delegate) {
  return std::make_unique<Connection>(loop, clock, std::move(fd),
                                      std::move(delegate));
}

}  // namespace hornbeamcleat
