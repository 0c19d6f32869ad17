#ifndef HORNBEAMCLEAT_REVIEW_TESTBED_2_H_
#define HORNBEAMCLEAT_REVIEW_TESTBED_2_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/net/file_descriptor.h"
#include "src/relay/http_parser.h"
#include "src/relay/listener.h"
#include "tests/platform/fake_store.h"

namespace hornbeamcleat::review {

/// One start of work on a request at a replica.
struct Run {
  std::string id;
  std::string replica;
  std::string tenant;
  double at_ms = 0;
  bool is_complete = false;
};

/// What a client got for a request.
struct Answer {
  int status = 0;  ///< 0: the connection ended or the time was over
  std::string body;
  bool keep_alive = false;
};

class Testbed;

/// One client connection with one request at a time.
class Client {
 public:
  Client(Testbed* bed, std::uint16_t port);

  /// Sends a request and waits for the whole answer.
  Answer Ask(const std::string& request, int timeout_ms);

 private:
  Testbed* const bed_;
  FileDescriptor fd_;
};

/// A replica that runs each request for a fixed time. Requests wait while its
/// slots are taken; it answers 421 to those for another instance, and 503 with
/// Not-Executed if too many wait.
class Replica {
 public:
  Replica(Testbed* bed, std::string id, std::string service, int slots,
          int work_ms);

  const std::string& Id() const { return id_; }
  /// Requests for which this is true crash the replica while they run; it comes
  /// back with the same id after `back_ms`.
  void CrashOn(std::function<bool(const CallerRequest&)> crashes, int back_ms);
  /// Size of the answers from now on.
  void SetAnswerBytes(std::size_t bytes);
  /// Crashes at once.
  void CrashNow();
  /// Entry of the replica in the store.
  std::string Entry() const;
  /// Ends the process: its listener and all its connections close.
  void Exit();

 private:
  class Work;

  std::unique_ptr<RequestHandler> Serve(const CallerRequest& request,
                                        ResponseSink* sink);
  void OnSlotFree();
  void Listen();
  void Crash();

  Testbed* const bed_;
  const std::string id_;
  const std::string service_;
  const int slots_;
  const Duration work_;
  std::int64_t born_ms_ = 0;
  std::function<bool(const CallerRequest&)> crashes_;
  Duration back_after_{0};
  std::unique_ptr<TimerService::Subscription> back_timer_;
  std::size_t answer_bytes_ = 0;
  int running_ = 0;
  std::list<Work*> waiting_;
  bool is_gone_ = false;
  Address address_;
  std::unique_ptr<Listener> listener_;
};

/// The system's daemon as processes on loopback, with stand-ins of the
/// platform's store and of replicas on a thread of this process.
class Testbed {
 public:
  /// @param record file for what was sent, answered and run
  /// @param daemons number of machines
  Testbed(const std::string& record, int daemons);
  ~Testbed();
  Testbed(const Testbed&) = delete;
  Testbed& operator=(const Testbed&) = delete;

  /// Milliseconds since the start.
  double NowMs() const;
  void Note(const std::string& line);
  static void Sleep(int ms);

  /// Runs `work` on the thread of the stand-ins and waits for it.
  void OnLoop(const std::function<void()>& work);
  PollLoop* Loop() { return loop_.get(); }
  const Clock* GetClock() const { return clock_.get(); }

  /// The same from the thread of the stand-ins.
  void PutOnLoop(const std::string& topic, const std::string& key,
                 const std::string& value) {
    store_->Put(topic, key, value);
  }
  /// Writes a record to the store, or removes it if `value` is empty.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  /// Remembers the store's records for Restore.
  void CopyStore();
  /// Whether the store turns all calls away with 503.
  void SetStoreAway(bool is_away);
  /// The store comes back from the latest copy.
  void RestoreStore();

  Replica* AddReplica(const std::string& id, const std::string& service,
                      int slots, int work_ms);
  /// Writes a replica's entry, or removes it.
  void Register(const Replica& replica) {
    Put("keyed.servers", replica.Id(), replica.Entry());
  }
  void Unregister(const Replica& replica) {
    Put("keyed.servers", replica.Id(), "");
  }

  int Daemons() const { return static_cast<int>(daemons_.size()); }
  void StartDaemon(int i);
  void KillDaemon(int i);
  /// Sends SIGTERM.
  void TerminateDaemon(int i);
  /// Waits until all started daemons say that they are ready; false if one
  /// doesn't.
  bool AwaitReady(int timeout_ms);
  bool IsReady(int i);
  std::uint16_t Front(int i) const { return daemons_[i].front; }

  /// Adds a run and returns its index.
  std::size_t AddRun(const Run& run);
  /// Counts a crash; `Crashes` returns when they were.
  void AddCrash(const std::string& replica);
  std::vector<double> Crashes();
  void CompleteRun(std::size_t index);
  std::vector<Run> Runs();

 private:
  struct Daemon {
    std::string name;
    std::string settings;  ///< path
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    pid_t pid = -1;
  };

  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  const Time start_ = clock_->Now();
  std::unique_ptr<platform::FakeStore> store_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<Daemon> daemons_;
  std::string folder_;
  std::thread thread_;
  std::mutex mutex_;
  std::ofstream record_;
  std::vector<Run> runs_;
  std::vector<double> crashes_ms_;
};

/// Whether the disruption is to be left out (TROUBLE=0).
bool IsCalm();

/// Runs a case with `daemons` machines, of which the last `added` are started
/// by `work`. @return 0: the rule held, 1: it was broken, 2: the case could
/// not run
int RunCase(int argc, char** argv, int daemons, int added,
            const std::function<int(Testbed*)>& work);

}  // namespace hornbeamcleat::review

#endif  // HORNBEAMCLEAT_REVIEW_TESTBED_2_H_
