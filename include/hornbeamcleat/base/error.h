#ifndef HORNBEAMCLEAT_BASE_ERROR_H_
#define HORNBEAMCLEAT_BASE_ERROR_H_

#include <stdexcept>
#include <string>

namespace hornbeamcleat {

/// Failure of one step of work, with the peer it was done with.
class Error : public std::runtime_error {
 public:
  /// @param step  the operation that failed, e.g. "append"
  /// @param peer  the other side as address or name; empty for local work
  /// @param cause what went wrong, one sentence without a full stop
  Error(std::string step, std::string peer, const std::string& cause);

  /// The operation that failed.
  const std::string& Step() const { return step_; }

  /// The other side, or empty.
  const std::string& Peer() const { return peer_; }

 private:
  std::string step_;
  std::string peer_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_ERROR_H_
