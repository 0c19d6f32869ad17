#ifndef HORNBEAMCLEAT_SRC_STANDIN_STANDIN_LOOP_H_
#define HORNBEAMCLEAT_SRC_STANDIN_STANDIN_LOOP_H_

#include <memory>
#include <string>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// Base class of the fake HTTP servers that replace external dependencies. One
/// event loop serves each. Subclasses respond through Front() and schedule
/// work through Timers().
class Standin : public CallerHandler {
 public:
  /// Binds the server to its event loop; called once, before any request.
  void Attach(CallerFront* front, TimerService* timers, const Clock* clock);

  /// Calls Handle and answers 400 if it throws.
  void OnRequest(CallerRequest request) override;
  void OnClosed(std::uint64_t handle, bool sent_whole) override;

 protected:
  /// Handles a request; the response may be sent later.
  virtual void Handle(const CallerRequest& request) = 0;

  /// Called after Attach.
  virtual void Started() {}

  CallerFront& Front() const { return *front_; }
  TimerService& Timers() const { return *timers_; }
  Time Now() const { return clock_->Now(); }
  WallTime WallNow() const { return clock_->WallNow(); }

  /// Sends a response with a JSON body.
  void AnswerJson(std::uint64_t handle, int status, const std::string& body);

 private:
  CallerFront* front_ = nullptr;
  TimerService* timers_ = nullptr;
  const Clock* clock_ = nullptr;
};

/// Event loop that runs one fake server on the calling thread.
class StandinLoop {
 public:
  /// Listens on `listen`; port 0 selects a free port.
  /// @throws Error with step "listen"
  static std::unique_ptr<StandinLoop> Make(const Address& listen,
                                           Standin* standin);

  virtual ~StandinLoop() = default;

  /// Address listened on, with the port that was selected.
  virtual Address Listening() const = 0;

  /// Serves until Stop is called.
  virtual void Run() = 0;

  /// Makes Run return. Safe to call from signal handlers and other threads.
  virtual void Stop() = 0;
};

/// Runs a fake server as a process: prints "listening on IP:PORT" to standard
/// error and serves until SIGTERM or SIGINT.
void ServeUntilSignal(const std::string& listen, Standin* standin);

/// Value of query parameter `name` as a number, or `fallback` if missing.
/// @throws Error with step "parse query"
std::int64_t QueryNumber(const CallerRequest& request, const std::string& name,
                         std::int64_t fallback);

/// Value of header `name` (lower case), or empty.
std::string HeaderValue(const CallerRequest& request, const std::string& name);

/// Entry point of a fake server: calls `run` and returns its exit code. If it
/// throws, prints the error to standard error and returns 2.
int RunStandin(const char* name, int (*run)(int argc, char** argv), int argc,
               char** argv);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_STANDIN_LOOP_H_
