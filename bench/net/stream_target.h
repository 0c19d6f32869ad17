#ifndef HORNBEAMCLEAT_BENCH_NET_STREAM_TARGET_H_
#define HORNBEAMCLEAT_BENCH_NET_STREAM_TARGET_H_

#include <sys/epoll.h>

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "src/entry/loop_thread.h"
#include "src/net/caller_front.h"
#include "src/net/poller.h"
#include "tests/net/socket_peer.h"

namespace hornbeamcleat {

/// Target that streams endless answers at a fixed pace. A call to a path that
/// ends in "probe" gets one part and the end at once.
class StreamTarget : public CallerHandler {
 public:
  explicit StreamTarget(Duration part_period)
      : part_period_(part_period),
        front_(CallerFront::Make(AnyPort(), 1 << 20, 1 << 14, 1 << 20, this)) {
    poller_->Add(front_->PollFd(), EPOLLIN,
                 [this](std::uint32_t) { front_->Run(); });
    thread_ = std::make_unique<LoopThread>([this] { Round(); });
  }

  ~StreamTarget() override { thread_.reset(); }

  Address Listening() const { return front_->Listening(); }

  void OnRequest(CallerRequest request) override {
    if (request.method != "POST") {
      CallerAnswer answer;
      answer.body = "{}";
      front_->Answer(request.handle, answer);
      return;
    }
    CallerAnswer head;
    head.content_type = "text/event-stream";
    front_->Begin(request.handle, head);
    if (request.path.ends_with("probe")) {
      front_->Write(request.handle, Part(1) + "data: [DONE]\n\n");
      front_->End(request.handle);
    } else {
      due_.push({clock_->Now(), {request.handle, 1}});
    }
  }

  void OnClosed(std::uint64_t, bool) override {}

 private:
  using Due = std::pair<Time, std::pair<std::uint64_t, int>>;

  static std::string Part(int n) {
    return "id: " + std::to_string(n) +
           "\ndata: {\"id\":\"x\",\"object\":\"chat.completion.chunk\","
           "\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":"
           "\"word \"},\"finish_reason\":null}]}\n\n";
  }

  void Round() {
    poller_->Wait(std::chrono::milliseconds(1));
    const Time now = clock_->Now();
    while (!due_.empty() && due_.top().first <= now) {
      const Due due = due_.top();
      due_.pop();
      const auto& [handle, n] = due.second;
      if (front_->Write(handle, Part(n))) {
        due_.push({due.first + part_period_, {handle, n + 1}});
      }
    }
  }

  Duration part_period_;
  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<Poller> poller_ = Poller::Make();
  std::unique_ptr<CallerFront> front_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::unique_ptr<LoopThread> thread_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BENCH_NET_STREAM_TARGET_H_
