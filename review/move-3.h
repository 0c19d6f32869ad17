#ifndef HORNBEAMCLEAT_REVIEW_MOVE_3_H_
#define HORNBEAMCLEAT_REVIEW_MOVE_3_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/testbed-3.h"

namespace review3 {

/// Three daemons move a service's traffic to a new version that is bad. Counts
/// the requests that the new version gets. Clients send at an even rate, each
/// request on a connection of its own, to an address of the directory.
class MoveCase {
 public:
  struct Options {
    std::string route_type = "non_idempotent";
    int timeout_ms = 3'000;
    int target_latency_ms = 300;
    int gap_target_ms = 0;  ///< of streams
    double gap_s = 0;       ///< after which clients leave a stream
    double per_second = 150;
    int replicas = 4;  ///< of each version
    int slots = 10;
    int work_ms = 80;  ///< until the answer, or until a stream's first event
    int events = 0;    ///< of a stream
    int pause_ms = 0;
    /// The new version's answer to a request that it begins, when it is bad.
    /// `part` is a random number from 0 to 1.
    std::function<Answer(int running, double part)> new_answer;
    double bad_after_s = 0;   ///< since the order, the new version is bad
    double back_after_s = 0;  ///< the operator orders the old one; 0: never
    /// Time from a request's arrival to the end of its bad answer.
    double bad_answer_s = 0;
  };

  MoveCase(Options options, const std::string& record);

  /// Returns the exit code: 1 if the rule was broken, 0 if it held, and 2 if
  /// the case couldn't run.
  int Run();

 private:
  /// What replicas of one version have been sent.
  struct Arrivals {
    int in_move = 0;  ///< between the order and its deadline
    int bad = 0;
  };

  std::string Config() const;
  void AddReplicas(const std::string& version);
  Answer OnRun(bool is_new, const Request& request, int running);
  void Ask();
  void AskOnce(const std::string& id, const std::string& address);
  void Order(const std::string& version);
  /// Plays the platform's part until a time: old replicas stop at `completed`.
  void Follow(double until);
  int Judge();

  const Options options_;
  const std::string folder_;
  Record record_;
  Store store_;
  std::mutex mutex_;
  Arrivals old_;
  Arrivals new_;
  int late_ = 0;  ///< sent too long after the 50th bad answer
  int lost_ = 0;  ///< without a complete success
  double fiftieth_ = 0;
  std::atomic<double> ordered_{0};
  std::atomic<bool> is_stopping_{false};
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

/// Runs a case with the path of its record as the only argument.
int RunMoveCase(const MoveCase::Options& options, int argc, char** argv);

}  // namespace review3

#endif  // HORNBEAMCLEAT_REVIEW_MOVE_3_H_
