#include "src/standin/standin_loop.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <exception>
#include <optional>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

constexpr int kFailedExit = 2;

constexpr std::size_t kMaxBody = 4 * 1024 * 1024;      // bytes
constexpr std::size_t kMaxOpen = 20'000;               // exchanges
constexpr std::size_t kMaxBuffered = 8 * 1024 * 1024;  // bytes per exchange
constexpr Duration kMaxWait = std::chrono::milliseconds(100);
constexpr int kBadRequest = 400;

class StandinLoopImpl : public StandinLoop {
 public:
  StandinLoopImpl(const Address& listen, Standin* standin)
      : clock_(Clock::Make()),
        timers_(TimerService::Make()),
        stop_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
        front_(CallerFront::Make(listen, kMaxBody, kMaxOpen, kMaxBuffered,
                                 standin)) {
    if (stop_fd_ < 0) {
      throw Error("make event descriptor", "", std::strerror(errno));
    }
    standin->Attach(front_.get(), timers_.get(), clock_.get());
  }

  ~StandinLoopImpl() override { close(stop_fd_); }

  Address Listening() const override { return front_->Listening(); }

  void Run() override {
    while (!Wait()) {
      front_->Run();
      timers_->RunDue(clock_->Now());
      front_->Run();
    }
  }

  void Stop() override {
    const std::uint64_t one = 1;
    const ssize_t n = write(stop_fd_, &one, sizeof(one));
    static_cast<void>(n);
  }

 private:
  // Returns whether Stop was called.
  bool Wait() {
    Duration wait = kMaxWait;
    const std::optional<Time> due = timers_->NextDue();
    if (due.has_value()) {
      wait = std::clamp(*due - clock_->Now(), Duration(0), kMaxWait);
    }
    std::array<pollfd, 2> fds = {pollfd{front_->PollFd(), POLLIN, 0},
                                 pollfd{stop_fd_, POLLIN, 0}};
    timespec limit{};
    limit.tv_nsec = wait.count() * 1000;
    ppoll(fds.data(), fds.size(), &limit, nullptr);
    return (fds[1].revents & POLLIN) != 0;
  }

  std::unique_ptr<Clock> clock_;
  std::unique_ptr<TimerService> timers_;
  int stop_fd_;
  std::unique_ptr<CallerFront> front_;
};

StandinLoop* signalled_loop = nullptr;

void StopSignalledLoop(int) { signalled_loop->Stop(); }

}  // namespace

void Standin::Attach(CallerFront* front, TimerService* timers,
                     const Clock* clock) {
  front_ = front;
  timers_ = timers;
  clock_ = clock;
  Started();
}

void Standin::OnRequest(CallerRequest request) {
  try {
    Handle(request);
  } catch (const std::exception& e) {
    cxxtools::SerializationInfo value;
    value.addValue("error", std::string(e.what()));
    AnswerJson(request.handle, kBadRequest, FormatJson(value));
  }
}

void Standin::OnClosed(std::uint64_t, bool) {}

void Standin::AnswerJson(std::uint64_t handle, int status,
                         const std::string& body) {
  CallerAnswer answer;
  answer.status = status;
  answer.body = body;
  front_->Answer(handle, answer);
}

std::unique_ptr<StandinLoop> StandinLoop::Make(const Address& listen,
                                               Standin* standin) {
  return std::make_unique<StandinLoopImpl>(listen, standin);
}

void ServeUntilSignal(const std::string& listen, Standin* standin) {
  const std::unique_ptr<StandinLoop> loop =
      StandinLoop::Make(Address::Parse(listen), standin);
  signalled_loop = loop.get();
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, StopSignalledLoop);
  std::signal(SIGINT, StopSignalledLoop);
  fmt::print(stderr, "listening on {}\n", loop->Listening().ToString());
  loop->Run();
}

std::int64_t QueryNumber(const CallerRequest& request, const std::string& name,
                         std::int64_t fallback) {
  const std::map<std::string, std::string>::const_iterator it =
      request.query.find(name);
  if (it == request.query.end()) {
    return fallback;
  }
  const std::string& text = it->second;
  std::int64_t out = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), out);
  if (result.ec != std::errc()) {
    throw Error("parse query", "", fmt::format("{} is not a number", name));
  }
  return out;
}

std::string HeaderValue(const CallerRequest& request, const std::string& name) {
  const std::map<std::string, std::string>::const_iterator it =
      request.headers.find(name);
  return it == request.headers.end() ? "" : it->second;
}

int RunStandin(const char* name, int (*run)(int argc, char** argv), int argc,
               char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& e) {
    fmt::print(stderr, "{}: {}\n", name, e.what());
    return kFailedExit;
  }
}

}  // namespace hornbeamcleat
