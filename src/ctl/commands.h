#ifndef HORNBEAMCLEAT_SRC_CTL_COMMANDS_H_
#define HORNBEAMCLEAT_SRC_CTL_COMMANDS_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "src/ctl/control_client.h"

namespace hornbeamcleat {

/// Exit codes of hornbeamcleatctl.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,    ///< no answer, or the daemon reported a failure
  kUsage = 2,     ///< bad command line or invalid file
  kNotFound = 3,  ///< no such resource or request
  kConflict = 4,  ///< another change came first
  kDenied = 5,    ///< the token was missing or wrong
};

/// Options of a command.
struct CommandOptions {
  bool json = false;                   ///< print JSON instead of tables
  std::vector<std::string> files;      ///< for validate and apply
  std::int64_t resource_version = -1;  ///< for delete; -1: the current one
  std::int64_t from = -1;              ///< first revision of a watch; -1: now
  std::int64_t count = 0;  ///< events after which a watch ends; 0: no end
  Duration wait = std::chrono::seconds(10);  ///< of one watch call

  bool operator==(const CommandOptions&) const = default;
};

/// Runs the command that `operands` name and writes its result to `out`.
/// @throws Error on failures that have no exit code of their own
ExitCode RunCommand(const ControlClient& client, const CommandOptions& options,
                    const std::vector<std::string>& operands,
                    std::ostream& out);

/// Kind as the API spells it: "workspaces" becomes "Workspace".
/// @throws Error with step "parse command line" if there is no such kind
std::string CanonicalKind(const std::string& text);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CTL_COMMANDS_H_
