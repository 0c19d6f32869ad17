#ifndef HORNBEAMCLEAT_TESTS_MISUSE_CALLER_CROWD_H_
#define HORNBEAMCLEAT_TESTS_MISUSE_CALLER_CROWD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/net/file_descriptor.h"
#include "tests/misuse/daemon_world.h"

namespace hornbeamcleat {

/// Connections that all send the same bytes, a piece of each in turn, and stay
/// open.
class CallerCrowd {
 public:
  struct Plan {
    int callers = 0;
    std::string bytes;
    std::size_t piece = 65'536;  ///< bytes of one send
    bool reads = false;          ///< whether answers are read
    std::size_t read_piece = 65'536;
    /// Rounds over all callers; sending ends earlier once nothing is accepted.
    int max_rounds = 100'000;
    int pause_ms = 0;  ///< after each round
  };

  CallerCrowd(DaemonWorld* world, Place place, Plan plan);

  /// Sends until all bytes are sent or no connection accepts more.
  void Run();

  int PeakDescriptors() const { return peak_descriptors_; }

 private:
  struct Caller {
    FileDescriptor fd;
    std::size_t sent = 0;
    bool is_closed = false;
  };

  void Connect(std::uint16_t port);
  bool RunRound();
  bool Send(Caller* caller);
  bool Receive(Caller* caller);
  void Sample();

  DaemonWorld* const world_;
  const Plan plan_;
  std::vector<Caller> callers_;
  int peak_descriptors_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_MISUSE_CALLER_CROWD_H_
