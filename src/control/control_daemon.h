#ifndef HORNBEAMCLEAT_SRC_CONTROL_CONTROL_DAEMON_H_
#define HORNBEAMCLEAT_SRC_CONTROL_CONTROL_DAEMON_H_

#include <memory>

#include "src/control/control_settings.h"

namespace hornbeamcleat {

/// The process hornbeamcleat-control: a control core with its log readers, its
/// gossip socket, the link to the entry and the operators' API.
class ControlDaemon {
 public:
  /// @throws Error if a listening address can't be had
  static std::unique_ptr<ControlDaemon> Make(
      const ControlDaemonOptions& options);

  virtual ~ControlDaemon() = default;

  /// Runs until Quit.
  /// @return exit code of the process
  virtual int Run() = 0;

  /// Announces the stop to the peers and ends Run soon. Safe in signal
  /// handling threads.
  virtual void Quit() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_CONTROL_DAEMON_H_
