#ifndef HORNBEAMCLEAT_SRC_BASE_DAEMON_COMMAND_LINE_H_
#define HORNBEAMCLEAT_SRC_BASE_DAEMON_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "hornbeamcleat/base/settings.h"

namespace hornbeamcleat {

/// Exit codes of all daemons.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// What a daemon's command line needs to know of it.
struct DaemonProgram {
  const char* name;
  const char* version;
  const char* help;  ///< text of --help
  std::vector<SettingRule> rules;
};

/// Options that all daemons have.
struct DaemonCommandLine {
  std::string settings;  ///< path of the settings file
  bool check_only = false;
  int exit_code = -1;  ///< of an option that ends the program; -1 if none
};

/// Reads the command line; answers --help, --version and
/// --print-settings-reference itself.
/// @param default_settings path used without --settings; may be empty
DaemonCommandLine ParseDaemonCommandLine(
    int argc, char** argv, const DaemonProgram& program,
    const std::string& default_settings = "");

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_DAEMON_COMMAND_LINE_H_
