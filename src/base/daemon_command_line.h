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

/// Description of a daemon for its command line.
struct DaemonProgram {
  const char* name;
  const char* version;
  const char* help;  ///< text of --help
  std::vector<SettingRule> rules;
};

/// Options shared by all daemons.
struct DaemonCommandLine {
  std::string settings;  ///< path of the settings file
  bool check_only = false;
  int exit_code = -1;  ///< set by options that exit; -1 if none
};

/// Parses the command line and handles --help, --version and
/// --print-settings-reference.
/// @param default_settings path used if --settings is absent; may be empty
DaemonCommandLine ParseDaemonCommandLine(
    int argc, char** argv, const DaemonProgram& program,
    const std::string& default_settings = "");

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_DAEMON_COMMAND_LINE_H_
