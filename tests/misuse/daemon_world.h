#ifndef HORNBEAMCLEAT_TESTS_MISUSE_DAEMON_WORLD_H_
#define HORNBEAMCLEAT_TESTS_MISUSE_DAEMON_WORLD_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "hornbeamcleat/base/clock.h"
#include "src/base/poll_loop.h"
#include "src/relay/listener.h"
#include "tests/platform/fake_store.h"

namespace hornbeamcleat {

/// Where a request goes.
enum class Place {
  kRoute,    ///< front listener, path with a route
  kNoRoute,  ///< front listener, path without a route
  kReadiness,
  kDirectory,
  kMetrics,
};

const char* PlaceName(Place place);

class DaemonWorld;

/// Caller that sends one request at a time and reads each answer.
class OrdinaryCaller {
 public:
  OrdinaryCaller(const DaemonWorld* world, Place place);

  /// Sends a request, or the rest of one, without waiting for the answer.
  void Send(const std::string& bytes);
  /// Status of the next answer; 0 if none comes.
  int AwaitStatus();
  /// Drops what has arrived, such as the body of the last answer.
  void DiscardReceived();

 private:
  FileDescriptor fd_;
  std::string unsent_;
  std::string received_;
};

/// One hornbeamcleatd process on loopback with a store and one target, which
/// run on a thread of this process.
class DaemonWorld {
 public:
  struct Options {
    int memory_mb = 24;
    int max_descriptors = 512;
    std::size_t max_body_bytes = 1'048'576;
    /// Longer than a test, so that no connection of a crowd times out.
    int header_timeout_ms = 120'000;
    int idle_timeout_ms = 120'000;
  };

  explicit DaemonWorld(const Options& options);
  ~DaemonWorld();
  DaemonWorld(const DaemonWorld&) = delete;
  DaemonWorld& operator=(const DaemonWorld&) = delete;

  /// Waits until the daemon serves requests; false if it doesn't.
  bool AwaitReady();
  bool IsAlive();
  /// Highest resident memory so far, in KiB.
  std::int64_t PeakMemoryKb() const;
  /// Resident memory now, in KiB.
  std::int64_t MemoryKb() const;
  int OpenDescriptors() const;

  std::uint16_t Port(Place place) const;
  /// Request target that is answered with 200, or 404 for kNoRoute.
  static std::string Path(Place place);
  static int ExpectedStatus(Place place);

  /// Sends `request` on a new connection and returns the status of the answer;
  /// 0 if none came.
  int Ask(Place place, const std::string& request) const;
  /// Sends a small request that has to be answered with ExpectedStatus.
  int AskOrdinary(Place place) const;
  /// Small request that has to be answered with ExpectedStatus.
  static std::string OrdinaryRequest(Place place);

 private:
  void StartTarget();
  void PutRecords(const Options& options);
  void StartDaemon();
  std::string ReadProcFile(const std::string& name) const;
  std::int64_t StatusKb(const std::string& key) const;

  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  std::unique_ptr<platform::FakeStore> store_;
  std::unique_ptr<Listener> target_;
  std::thread thread_;
  std::string folder_;
  std::uint16_t front_ = 0;
  std::uint16_t ready_ = 0;
  std::uint16_t directory_ = 0;
  std::uint16_t metrics_ = 0;
  pid_t pid_ = -1;
  const Options options_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_MISUSE_DAEMON_WORLD_H_
