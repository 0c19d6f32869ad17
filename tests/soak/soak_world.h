#ifndef HORNBEAMCLEAT_TESTS_SOAK_SOAK_WORLD_H_
#define HORNBEAMCLEAT_TESTS_SOAK_SOAK_WORLD_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "src/base/poll_loop.h"
#include "src/relay/listener.h"
#include "tests/platform/fake_store.h"
#include "tests/soak/loopback_proxy.h"

namespace hornbeamcleat {

/// Real daemons as processes, between callers and targets of this process. All
/// faults come from outside of the daemons and follow one seed.
class SoakWorld {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int vms = 3;
    int targets = 4;
    int callers = 12;
    Duration faults_for = std::chrono::seconds(5);
  };

  explicit SoakWorld(const Options& options);
  ~SoakWorld();

  /// Runs the faults, then calm; what broke a promise is in Violations.
  void Run();

  const std::vector<std::string>& Violations() const { return violations_; }
  int Served() const { return served_; }
  int Asked() const { return asked_; }
  /// Faults in the order in which they struck.
  const std::vector<std::string>& Faults() const { return faults_; }

 private:
  /// What requests have in common that crash each target that runs them.
  struct CrashCause {
    int crashes = 0;
    /// Time of the crash from which few requests may still be sent.
    std::optional<Time> limit_reached_at;
    int sends_after = 0;  ///< later than all VMs must know of these crashes
  };

  /// What a target has stated to one VM.
  struct Statements {
    struct Rest {
      Time asked;
      Time ends;
      int sends = 0;  ///< later than kRestBegins after it was asked
    };
    std::optional<Time> leaving_told;
    std::vector<Rest> rests;
  };

  struct Vm;
  struct Target;
  struct Caller;
  class TargetWork;

  void StartVm(Vm* vm);
  void ReapVms();
  void PutConfig();
  /// Writes the operators' newest configuration, without a new version.
  void RewriteConfig();
  /// Lets the store come back from its last copy; operators and targets write
  /// again what it has lost.
  void RestoreStore();
  void PutTarget(const Target& target, bool is_leaving);
  void Replace(Target* target);
  std::unique_ptr<RequestHandler> Serve(Target* target, CallerRequest request,
                                        ResponseSink* sink);
  std::unique_ptr<RequestHandler> ServeCrashing(Target* target,
                                                const std::string& cause,
                                                const HeaderList& headers,
                                                ResponseSink* sink);
  /// Lets targets say that they leave or ask for rest, and the store come back
  /// from a copy, during the faults.
  void StateSomething();
  /// Lets a target state a limit on requests that changes, from now on.
  void StateLimit(Target* target);
  void ChangeLimit(Target* target, const std::string& id, int changes);
  /// Limits are stated during the calm end, too.
  void StateLimits();
  /// Checks a request that has reached a target against its statements.
  void CheckStatements(Target* target, const std::string& id);
  void Crash(Target* target, const std::string& cause);
  /// Sends the content that crashes targets, again and again, to any VM.
  void AskCrashing();
  /// Sends requests that share one part, which crashes targets, during the
  /// faults.
  void AskCrashingPart();
  void Strike();
  void Continue(Vm* vm);
  void StrikeVm();
  void StrikeTarget();
  void StrikeStore();
  void EndFaults();
  void Ask(Caller* caller);
  void AskAfter(Caller* caller, Duration pause);
  void OnAnswer(Caller* caller);
  void OnCallerEnd(Caller* caller);
  void CheckAnswer(Caller* caller, int status, const std::string& body);
  void RunFor(Duration time);
  int Pick(int n);
  void Fault(const std::string& what);
  void Violate(const std::string& what);
  /// Calls `work` after a pause on the loop.
  void After(Duration pause, std::function<void()> work);

  const Options options_;
  std::mt19937_64 random_;
  std::unique_ptr<Clock> clock_;
  std::unique_ptr<PollLoop> loop_;
  std::unique_ptr<platform::FakeStore> store_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<TimerService::Subscription>> timers_;
  std::map<std::string, int> runs_;   ///< by request id
  std::map<int, int> statuses_;       ///< answers since the faults ended
  std::set<std::string> disowned_;    ///< ids answered as not run
  std::map<std::string, Time> sent_;  ///< by request id
  Time key_removed_;                  ///< of the second workspace
  bool is_key_removed_ = false;
  bool is_striking_ = false;
  int config_version_ = 0;
  std::map<std::string, CrashCause> crashing_;  ///< by path or part
  std::unique_ptr<ByteStream> crashing_caller_;
  std::unique_ptr<ByteStream> part_caller_;
  /// Of its own, so that a seed goes on to choose the same faults.
  std::mt19937_64 part_random_;
  int next_part_request_ = 0;
  /// Of its own, like part_random_.
  std::mt19937_64 statement_random_;
  std::mt19937_64 limit_random_;
  std::map<std::string, int> vm_of_;  ///< by request id
  int next_target_id_ = 0;
  std::vector<std::string> ended_ids_;  ///< of targets, since the last copy
  int next_request_ = 0;
  int asked_ = 0;
  int served_ = 0;
  std::string folder_;
  std::vector<std::string> faults_;
  std::vector<std::string> violations_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_SOAK_SOAK_WORLD_H_
