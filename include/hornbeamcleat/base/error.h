#ifndef HORNBEAMCLEAT_BASE_ERROR_H_
#define HORNBEAMCLEAT_BASE_ERROR_H_

#include <stdexcept>
#include <string>

namespace hornbeamcleat {

/// Failure of an operation, with the peer that was involved.
class Error : public std::runtime_error {
 public:
  /// @param step  the operation that failed, e.g. "append"
  /// @param peer  address or name of the remote side; empty if local
  /// @param cause description of the failure, without a trailing period
  Error(std::string step, std::string peer, const std::string& cause);

  /// The operation that failed.
  const std::string& Step() const { return step_; }

  /// Address or name of the remote side; empty if the operation was local.
  const std::string& Peer() const { return peer_; }

 private:
  std::string step_;
  std::string peer_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_ERROR_H_
