#include "src/relay/target_call.h"

#include <charconv>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/relay/buffer_budget.h"
#include "src/relay/byte_stream.h"
#include "src/relay/http_codec.h"
#include "src/relay/target_connection_pool.h"

namespace hornbeamcleat {
namespace {

constexpr int kContinue = 100;
constexpr int kFirstFinalStatus = 200;
/// Bytes of interim responses and of responses to other requests that are read
/// while a call waits for its own.
constexpr std::size_t kMaxDiscardedBytes = 1'048'576;
/// For targets that state no idle timeout; well below the defaults of common
/// servers.
constexpr Duration kDefaultIdleTime = std::chrono::seconds(1);
/// Time between two checks whether the target has taken all of the request. The
/// system reports no such event.
constexpr Duration kDeliveryCheckInterval = std::chrono::milliseconds(5);
/// A connection is reused only within this fraction (1/N) of the idle timeout
/// that the target states.
constexpr int kIdleTimeDivisor = 2;

// How long a connection may be reused, from "Keep-Alive: timeout=N".
Duration ReuseTime(const HeaderList& headers) {
  const std::string* value = FindHeader(headers, "Keep-Alive");
  if (value == nullptr) {
    return kDefaultIdleTime;
  }
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value->find(kName);
  int seconds = 0;
  if (at == std::string::npos) {
    return kDefaultIdleTime;
  }
  const char* first = value->data() + at + kName.size();
  std::from_chars(first, value->data() + value->size(), seconds);
  return std::chrono::seconds(seconds) / kIdleTimeDivisor;
}

class TargetCallImpl : public TargetCall {
 public:
  TargetCallImpl(PollLoop* loop, TargetConnectionPool* pool,
                 const HttpCodec* codec, Plan plan, Callbacks callbacks)
      : loop_(loop),
        pool_(pool),
        codec_(codec),
        plan_(std::move(plan)),
        callbacks_(std::move(callbacks)),
        held_(plan_.budget) {
    Connect();
  }

  ~TargetCallImpl() override { Cancel(); }

  void Cancel() override {
    *alive_ = false;
    connect_timer_.reset();
    delivery_timer_.reset();
    if (stream_ != nullptr) {
      stream_->Abort();
      ReleaseStream(std::move(stream_));
    }
  }

  bool IsAwaitingDelivery() const override {
    return delivery_timer_ != nullptr;
  }

  bool MayHaveSent() const override { return may_have_sent_; }

  void SetReading(bool is_reading) override {
    if (stream_ != nullptr) {
      stream_->SetReading(is_reading);
    }
  }

 private:
  void Connect() {
    ResetParser();
    if (plan_.may_reuse) {
      stream_ = pool_->Acquire(plan_.target);
    }
    if (stream_ != nullptr) {
      is_reused_ = true;
      Attach();
      PostIfAlive([this] { Send(); });
      return;
    }
    try {
      stream_ = ByteStream::Connect(loop_, plan_.target, plan_.user_timeout);
    } catch (const Error&) {
      PostIfAlive([this] { Fail(CallFailure::kConnectFailed); });
      return;
    }
    Attach();
    connect_timer_ = loop_->Timers()->At(plan_.connect_by, [this](Time) {
      if (!may_have_sent_) {
        Fail(CallFailure::kConnectFailed);
      }
    });
  }

  // Runs `work` on the loop unless the call has been destroyed by then.
  void PostIfAlive(std::function<void()> work) {
    loop_->Post([alive = alive_, work = std::move(work)] {
      if (*alive) {
        work();
      }
    });
  }

  void Attach() {
    ByteStream::Callbacks callbacks;
    callbacks.on_connected = [this] { Send(); };
    callbacks.on_bytes = [this](std::string_view bytes) { OnBytes(bytes); };
    callbacks.on_end = [this](StreamEnd end) { OnEnd(end); };
    stream_->SetCallbacks(std::move(callbacks));
  }

  void ResetParser() {
    parser_ = HttpParser::ForResponse(plan_.limits, plan_.is_head);
    is_mismatched_ = false;
    head_seen_ = false;
    head_bytes_ = 0;
    held_.Set(0);
  }

  void Send() {
    if (stream_ == nullptr) {
      return;
    }
    connect_timer_.reset();
    if (!callbacks_.may_send()) {
      return;
    }
    may_have_sent_ = true;
    stream_->WriteOwned(std::move(plan_.bytes));
  }

  void OnBytes(std::string_view bytes) {
    const std::shared_ptr<bool> alive = alive_;
    if (!may_have_sent_) {
      Fail(CallFailure::kConnectFailed);
      return;
    }
    while (!bytes.empty()) {
      const std::size_t n = parser_->Feed(bytes);
      bytes.remove_prefix(n);
      if (!head_seen_ || is_mismatched_) {
        discarded_bytes_ += n;
      }
      // Data parsed before an error is still delivered.
      if (!Deliver() || !*alive) {
        return;
      }
      // A head is limited by the parser; all of them together are here.
      head_bytes_ += n;
      held_.Set(parser_->HeadDone()
                    ? 0
                    : head_bytes_ +
                          parser_->Head().headers.size() * sizeof(HeaderField));
      if (parser_->Error() != ParseError::kNone ||
          discarded_bytes_ > kMaxDiscardedBytes || held_.ExceedsPart()) {
        Fail(CallFailure::kMalformed);
        return;
      }
      if (parser_->Done()) {
        if (IsInterim() || is_mismatched_) {
          ResetParser();
          continue;
        }
        Finish(bytes.empty());
        return;
      }
    }
  }

  bool IsInterim() const {
    return parser_->Head().status >= kContinue &&
           parser_->Head().status < kFirstFinalStatus;
  }

  // Delivers parsed data; false if a callback ended the call.
  bool Deliver() {
    if (!parser_->HeadDone() || IsInterim()) {
      return true;
    }
    const std::shared_ptr<bool> alive = alive_;
    if (!head_seen_) {
      head_seen_ = true;
      const ResponseInfo info = codec_->ParseResponseHeaders(
          parser_->Head().status, parser_->Head().headers);
      is_mismatched_ = !info.id.empty() && info.id != plan_.request_id;
      is_identified_ = info.id == plan_.request_id;
      is_not_executed_ = info.not_executed;
      const bool is_signed_response = is_identified_ && info.is_signed;
      if ((!info.statement.IsEmpty() || is_signed_response) &&
          callbacks_.on_statement) {
        is_target_leaving_ = is_target_leaving_ || info.statement.is_leaving;
        callbacks_.on_statement(info.statement, is_signed_response);
      }
      if (is_identified_ && callbacks_.on_load &&
          (info.load.has_value() || info.has_invalid_load)) {
        callbacks_.on_load(info.load, info.has_invalid_load);
      }
      if (is_reused_ && !is_identified_ && !is_mismatched_) {
        Fail(CallFailure::kUnidentified);
        return false;
      }
      if (!is_mismatched_) {
        const std::function<void(const MessageHead&)> on_head =
            callbacks_.on_head;
        on_head(parser_->Head());
        if (!*alive || stream_ == nullptr) {
          return false;
        }
      }
    }
    if (is_mismatched_) {
      parser_->Body()->clear();
    } else if (!parser_->Body()->empty()) {
      const std::function<void(std::string*)> on_body = callbacks_.on_body;
      on_body(parser_->Body());
    }
    return *alive && stream_ != nullptr;
  }

  void OnEnd(StreamEnd end) {
    if (!may_have_sent_) {
      Fail(CallFailure::kConnectFailed);
      return;
    }
    if (end == StreamEnd::kClean && !is_mismatched_) {
      parser_->FeedEnd();
      if (parser_->Error() == ParseError::kNone && parser_->Done() &&
          !IsInterim()) {
        if (Deliver()) {
          FinishOnceDelivered();
        }
        return;
      }
    }
    Fail(end == StreamEnd::kClean ? CallFailure::kTruncated
                                  : CallFailure::kReset);
  }

  // Finishes a response that has ended with its connection. A target that did
  // not execute the request has no reason to read it.
  void FinishOnceDelivered() {
    if (is_not_executed_ || stream_->Undelivered() == 0) {
      delivery_timer_.reset();
      Finish(false);
      return;
    }
    CheckDeliveryAt(Time());
  }

  void CheckDeliveryAt(Time when) {
    delivery_timer_ = loop_->Timers()->At(when, [this](Time now) {
      if (stream_->Undelivered() > 0) {
        CheckDeliveryAt(now + kDeliveryCheckInterval);
      } else {
        FinishOnceDelivered();
      }
    });
  }

  // The connection is reused only if no bytes follow the response.
  void Finish(bool is_clean) {
    const MessageHead& head = parser_->Head();
    std::unique_ptr<ByteStream> stream = std::move(stream_);
    if (is_clean && head.keep_alive && plan_.may_reuse && is_identified_ &&
        !is_target_leaving_ && head.framing != BodyFraming::kUntilClose &&
        stream->Unsent() == 0) {
      pool_->Release(std::move(stream), ReuseTime(head.headers));
    } else {
      ReleaseStream(std::move(stream));
    }
    const std::function<void()> on_done = callbacks_.on_done;
    on_done();
  }

  void Fail(CallFailure failure) {
    connect_timer_.reset();
    delivery_timer_.reset();
    if (stream_ != nullptr) {
      stream_->Abort();
      ReleaseStream(std::move(stream_));
    }
    // The call itself may live until the loop has handled all its events.
    parser_.reset();
    held_.Set(0);
    const std::function<void(CallFailure)> on_failure = callbacks_.on_failure;
    on_failure(failure);
  }

  // Frees the stream from the loop, since its callback may be running.
  void ReleaseStream(std::unique_ptr<ByteStream> stream) {
    const std::shared_ptr<ByteStream> released = std::move(stream);
    released->SetCallbacks({});
    loop_->Post([released] {});
  }

  PollLoop* const loop_;
  TargetConnectionPool* const pool_;
  const HttpCodec* const codec_;
  Plan plan_;
  Callbacks callbacks_;
  BufferBudget::Share held_;  ///< of an incomplete head
  std::size_t head_bytes_ = 0;
  std::unique_ptr<ByteStream> stream_;
  std::unique_ptr<HttpParser> parser_;
  std::unique_ptr<TimerService::Subscription> connect_timer_;
  std::unique_ptr<TimerService::Subscription> delivery_timer_;
  bool may_have_sent_ = false;
  bool head_seen_ = false;
  bool is_mismatched_ = false;
  bool is_target_leaving_ = false;
  bool is_reused_ = false;        ///< the connection has served other requests
  bool is_identified_ = false;    ///< the response bears the request's ID
  bool is_not_executed_ = false;  ///< the target states so
  std::size_t discarded_bytes_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

const char* CallFailureName(CallFailure failure) {
  switch (failure) {
    case CallFailure::kConnectFailed:
      return "unreached";
    case CallFailure::kReset:
      return "reset";
    case CallFailure::kTruncated:
      return "truncated";
    case CallFailure::kMalformed:
      return "malformed";
    case CallFailure::kUnidentified:
      return "unidentified";
  }
  return "unknown";
}

std::unique_ptr<TargetCall> TargetCall::Start(PollLoop* loop,
                                              TargetConnectionPool* pool,
                                              const HttpCodec* codec, Plan plan,
                                              Callbacks callbacks) {
  return std::make_unique<TargetCallImpl>(loop, pool, codec, std::move(plan),
                                          std::move(callbacks));
}

}  // namespace hornbeamcleat
