#include "tests/platform/fake_store.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"

namespace hornbeamcleat::platform {
namespace {

constexpr int kMaxConnections = 400;

std::string QueryValue(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

std::uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::string value = QueryValue(target, name);
  return value.empty() ? 0 : std::stoull(value);
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
  }
  return out;
}

std::string EncodeBase64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

class NullHandler : public RequestHandler {
 public:
  void OnFlushed() override {}
};

}  // namespace

class FakeStore::PendingRead : public RequestHandler {
 public:
  PendingRead(FakeStore* store, std::string topic, std::uint64_t from,
              Duration wait, ResponseSink* sink)
      : store_(store), topic_(std::move(topic)), from_(from), sink_(sink) {
    place_ = store_->pending_reads_.insert(store_->pending_reads_.end(), this);
    timer_ = store_->loop_->Timers()->At(store_->clock_->Now() + wait,
                                         [this](Time) { Answer(); });
  }

  ~PendingRead() override {
    if (!answered_) {
      store_->pending_reads_.erase(place_);
    }
  }

  void OnFlushed() override {}

  const std::string& GetTopic() const { return topic_; }

  void Answer() {
    answered_ = true;
    store_->pending_reads_.erase(place_);
    timer_.reset();
    store_->Respond(sink_, 200, Batch(store_->topics_[topic_], from_));
  }

  void Abort() {
    answered_ = true;
    store_->pending_reads_.erase(place_);
    timer_.reset();
    sink_->Abort();
  }

 private:
  FakeStore* const store_;
  const std::string topic_;
  const std::uint64_t from_;
  ResponseSink* const sink_;
  bool answered_ = false;
  std::list<PendingRead*>::iterator place_;
  std::unique_ptr<TimerService::Subscription> timer_;
};

FakeStore::FakeStore(PollLoop* loop, const Clock* clock)
    : loop_(loop), clock_(clock) {
  CallerConnection::Delegate owner;
  owner.options = [] {
    CallerConnection::Options options;
    options.user_timeout = std::chrono::seconds(10);
    return options;
  };
  owner.is_draining = [] { return false; };
  owner.may_buffer = [](std::size_t) { return true; };
  owner.on_rejected = [](std::string_view) {};
  owner.on_response_cut = [](std::size_t) {};
  owner.handle = [this](const CallerRequest& request, ResponseSink* sink) {
    return Handle(request, sink);
  };
  listener_ = std::make_unique<Listener>(loop, clock, Address{"127.0.0.1", 0},
                                         kMaxConnections, std::move(owner));
}

FakeStore::~FakeStore() { listener_.reset(); }

void FakeStore::Put(const std::string& topic, const std::string& key,
                    const std::string& value) {
  Topic& entry = topics_[topic];
  entry.records.push_back({key, value});
  if (value.empty()) {
    entry.newest.erase(key);
  } else {
    entry.newest[key] = value;
  }
  if (fault_ == Fault::kSilent || fault_ == Fault::kBusy) {
    return;
  }
  const std::list<PendingRead*> waiting = pending_reads_;
  for (PendingRead* read : waiting) {
    if (read->GetTopic() == topic) {
      read->Answer();
    }
  }
}

void FakeStore::Restore() {
  topics_ = copy_;
  ++era_;
  const std::list<PendingRead*> waiting = pending_reads_;
  for (PendingRead* read : waiting) {
    read->Abort();
  }
}

void FakeStore::Respond(ResponseSink* sink, int status,
                        const std::string& body) const {
  HeaderList headers;
  if (states_era_) {
    headers.push_back({"Store-Era", fmt::format("{}", era_)});
  }
  sink->SendResponse(status, "", headers, body);
}

void FakeStore::Compact() {
  for (auto& [name, topic] : topics_) {
    topic.first = topic.End();
    topic.records.clear();
  }
}

std::string FakeStore::Newest(const std::string& topic,
                              const std::string& key) const {
  const auto entry = topics_.find(topic);
  if (entry == topics_.end()) {
    return "";
  }
  const auto value = entry->second.newest.find(key);
  return value == entry->second.newest.end() ? "" : value->second;
}

std::unique_ptr<RequestHandler> FakeStore::Handle(const CallerRequest& request,
                                                  ResponseSink* sink) {
  ++calls_;
  const std::string& target = request.head.target;
  const std::string topic = QueryValue(target, "topic");
  if (fault_ == Fault::kSilent) {
    return std::make_unique<NullHandler>();
  }
  if (fault_ == Fault::kBusy) {
    Respond(sink, 503, "");
  } else if (target.starts_with("/-/log-newest")) {
    ++page_reads_;
    if (rejects_each_page_once_ && rejected_pages_.insert(target).second) {
      Respond(sink, 503, "");
    } else {
      Respond(sink, 200, Page(topics_[topic], QueryValue(target, "after")));
    }
  } else if (target.starts_with("/-/log-read")) {
    return Read(topic, QueryNumber(target, "from"),
                std::chrono::milliseconds(QueryNumber(target, "wait_ms")),
                sink);
  } else if (target.starts_with("/-/log-append") &&
             !QueryValue(target, "at").empty() &&
             QueryNumber(target, "at") != topics_[topic].End()) {
    Respond(sink, 412, fmt::format(R"({{"end":{}}})", topics_[topic].End()));
  } else if (target.starts_with("/-/log-append")) {
    Append(topic, request.body);
    if (fault_ == Fault::kDropsWriteResponses) {
      sink->Abort();
    } else {
      Respond(sink, 200, R"({"offset":0,"end":1})");
    }
  } else {
    Respond(sink, 404, "");
  }
  return std::make_unique<NullHandler>();
}

std::unique_ptr<RequestHandler> FakeStore::Read(const std::string& topic,
                                                std::uint64_t from,
                                                Duration wait,
                                                ResponseSink* sink) {
  const Topic& entry = topics_[topic];
  if (from < entry.first || from > entry.End()) {
    Respond(sink, 410, fmt::format(R"({{"first":{}}})", entry.first));
  } else if (from < entry.End()) {
    Respond(sink, 200, Batch(entry, from));
  } else {
    return std::make_unique<PendingRead>(this, topic, from, wait, sink);
  }
  return std::make_unique<NullHandler>();
}

void FakeStore::Append(const std::string& topic, const std::string& body) {
  // An append is framed like a read, without the two leading offsets.
  const LogBatch batch = DecodeBatch(std::string(16, '\0') + body, 0);
  for (const KeyedRecord& record : batch.records) {
    Put(topic, record.key, record.value);
  }
}

std::string FakeStore::Page(const Topic& topic,
                            const std::string& after) const {
  std::string items;
  std::size_t n = 0;
  auto it = topic.newest.upper_bound(after);
  for (; it != topic.newest.end() && n < page_size_; ++it, ++n) {
    items += fmt::format(R"({}{{"key":"{}","value":"{}","offset":0}})",
                         items.empty() ? "" : ",", it->first,
                         EncodeBase64(it->second));
  }
  return fmt::format(R"({{"items":[{}],"truncated":{},"end":{}}})", items,
                     it != topic.newest.end(), topic.End());
}

std::string FakeStore::Batch(const Topic& topic, std::uint64_t from) {
  std::string bytes = BigEndian(topic.End(), 8) + BigEndian(topic.first, 8);
  for (std::uint64_t i = std::max(from, topic.first); i < topic.End(); ++i) {
    bytes += EncodeKeyedRecord(topic.records[i - topic.first]);
  }
  return bytes;
}

}  // namespace hornbeamcleat::platform
