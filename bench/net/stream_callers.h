#ifndef HORNBEAMCLEAT_BENCH_NET_STREAM_CALLERS_H_
#define HORNBEAMCLEAT_BENCH_NET_STREAM_CALLERS_H_

#include <sys/epoll.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/settings.h"
#include "src/entry/loop_thread.h"
#include "src/net/poller.h"
#include "src/net/target_client.h"

namespace hornbeamcleat {

/// Request of a caller in the bench.
inline TargetRequest BenchRequest(std::uint64_t handle, const Address& address,
                                  const std::string& path) {
  TargetRequest request;
  request.handle = handle;
  request.address = address.ToString();
  request.path = path;
  request.headers = {
      {"Workspace", "w"}, {"Application", "chat"}, {"Deadline-Ms", "600000"}};
  request.body = "{\"prompt\":\"hello\",\"max_tokens\":10}";
  return request;
}

/// Callers that read many answers at once on one thread.
class StreamCallers : public TargetHandler {
 public:
  StreamCallers(const Address& address, int answers) {
    poller_->Add(client_->PollFd(), EPOLLIN,
                 [this](std::uint32_t) { client_->Run(); });
    for (int i = 1; i <= answers; ++i) {
      client_->Begin(
          BenchRequest(static_cast<std::uint64_t>(i), address, "/v1/stream"));
    }
    thread_ = std::make_unique<LoopThread>([this] {
      poller_->Wait(std::min(client_->NextRun(),
                             Duration(std::chrono::milliseconds(10))));
      if (client_->NextRun() == Duration(0)) {
        client_->Run();
      }
    });
  }

  ~StreamCallers() override { thread_.reset(); }

  int Open() const { return begun_ - ended_; }
  std::uint64_t Parts() const { return parts_; }

  void OnSending(std::uint64_t) override {}
  void OnHead(std::uint64_t, int status,
              const std::map<std::string, std::string>&) override {
    begun_ += status == 200 ? 1 : 0;
  }
  void OnBody(std::uint64_t, std::string_view bytes) override {
    std::size_t at = 0;
    while ((at = bytes.find("id: ", at)) != std::string_view::npos) {
      ++parts_;
      ++at;
    }
  }
  void OnEnd(std::uint64_t, TargetEnd, const std::string&) override {
    ++ended_;
  }

 private:
  std::unique_ptr<Poller> poller_ = Poller::Make();
  std::unique_ptr<TargetClient> client_ = TargetClient::Make(this);
  std::atomic<int> begun_{0};
  std::atomic<int> ended_{0};
  std::atomic<std::uint64_t> parts_{0};
  std::unique_ptr<LoopThread> thread_;
};

/// One caller that times the first part of one answer after the other.
class Probe : public TargetHandler {
 public:
  /// Time from the call to the first part, in milliseconds.
  double FirstPartMs(const Address& address) {
    seen_ = Time();
    ended_ = false;
    const Time start = clock_->Now();
    client_->Begin(BenchRequest(++last_, address, "/v1/probe"));
    while (!ended_) {
      poller_->Wait(client_->NextRun());
      client_->Run();
    }
    return ToSeconds(seen_ - start) * 1'000;
  }

  void OnSending(std::uint64_t) override {}
  void OnHead(std::uint64_t, int,
              const std::map<std::string, std::string>&) override {}
  void OnBody(std::uint64_t, std::string_view) override {
    if (seen_ == Time()) {
      seen_ = clock_->Now();
    }
  }
  void OnEnd(std::uint64_t, TargetEnd, const std::string&) override {
    ended_ = true;
  }

 private:
  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<Poller> poller_ = Poller::Make();
  std::unique_ptr<TargetClient> client_ = [this] {
    std::unique_ptr<TargetClient> client = TargetClient::Make(this);
    poller_->Add(client->PollFd(), EPOLLIN, [](std::uint32_t) {});
    return client;
  }();
  std::uint64_t last_ = 0;
  Time seen_;
  bool ended_ = false;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BENCH_NET_STREAM_CALLERS_H_
