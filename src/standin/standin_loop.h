#ifndef HORNBEAMCLEAT_SRC_STANDIN_STANDIN_LOOP_H_
#define HORNBEAMCLEAT_SRC_STANDIN_STANDIN_LOOP_H_

#include <memory>
#include <string>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// Stand-in for something the system talks to, served by one loop. A subclass
/// answers through Front() and keeps time through Timers().
class Standin : public CallerHandler {
 public:
  /// Connects the stand-in to its loop; called once, before any request.
  void Attach(CallerFront* front, TimerService* timers, const Clock* clock);

  /// Calls Handle; a thrown exception becomes an answer of status 400.
  void OnRequest(CallerRequest request) override;
  void OnClosed(std::uint64_t handle, bool sent_whole) override;

 protected:
  /// Takes a request; answers it now or later.
  virtual void Handle(const CallerRequest& request) = 0;

  /// Called after Attach.
  virtual void Started() {}

  CallerFront& Front() const { return *front_; }
  TimerService& Timers() const { return *timers_; }
  Time Now() const { return clock_->Now(); }
  WallTime WallNow() const { return clock_->WallNow(); }

  /// Answers with a JSON body.
  void AnswerJson(std::uint64_t handle, int status, const std::string& body);

 private:
  CallerFront* front_ = nullptr;
  TimerService* timers_ = nullptr;
  const Clock* clock_ = nullptr;
};

/// Runs one stand-in on one thread.
class StandinLoop {
 public:
  /// Listens on `listen`; port 0 picks one.
  /// @throws Error with step "listen"
  static std::unique_ptr<StandinLoop> Make(const Address& listen,
                                           Standin* standin);

  virtual ~StandinLoop() = default;

  /// Address listened on, with the port that was picked.
  virtual Address Listening() const = 0;

  /// Serves until Stop is called.
  virtual void Run() = 0;

  /// Ends Run; safe from signal handlers and other threads.
  virtual void Stop() = 0;
};

/// Body of a stand-in's main: prints "listening on IP:PORT" to standard error
/// and serves until SIGTERM or SIGINT.
void ServeUntilSignal(const std::string& listen, Standin* standin);

/// Value of query parameter `name` as a number, or `fallback` if missing.
/// @throws Error with step "parse query"
std::int64_t QueryNumber(const CallerRequest& request, const std::string& name,
                         std::int64_t fallback);

/// Value of header `name` (lower case), or empty.
std::string HeaderValue(const CallerRequest& request, const std::string& name);

/// Main function of a stand-in: calls `run` and returns its exit code, or 2
/// with the cause on standard error when it throws.
int RunStandin(const char* name, int (*run)(int argc, char** argv), int argc,
               char** argv);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_STANDIN_LOOP_H_
