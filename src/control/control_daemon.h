#ifndef HORNBEAMCLEAT_SRC_CONTROL_CONTROL_DAEMON_H_
#define HORNBEAMCLEAT_SRC_CONTROL_CONTROL_DAEMON_H_

#include <memory>

#include "src/control/control_settings.h"

namespace hornbeamcleat {

/// The hornbeamcleat-control process: a control core with its log readers,
/// gossip socket, link to the entry and operators' API.
class ControlDaemon {
 public:
  /// @throws Error if it cannot listen on an address
  static std::unique_ptr<ControlDaemon> Make(
      const ControlDaemonOptions& options);

  virtual ~ControlDaemon() = default;

  /// Runs until Quit.
  /// @return exit code of the process
  virtual int Run() = 0;

  /// Announces the stop to the peers, then makes Run return. May be called from
  /// a signal handling thread.
  virtual void Quit() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_CONTROL_DAEMON_H_
