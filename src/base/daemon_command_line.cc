#include "src/base/daemon_command_line.h"

#include <fmt/format.h>
#include <getopt.h>

#include <cstdio>

namespace hornbeamcleat {

DaemonCommandLine ParseDaemonCommandLine(int argc, char** argv,
                                         const DaemonProgram& program,
                                         const std::string& default_settings) {
  const option options[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check-settings", no_argument, nullptr, 'c'},
      {"print-settings-reference", no_argument, nullptr, 'r'},
      {"version", no_argument, nullptr, 'v'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  DaemonCommandLine line;
  line.settings = default_settings;
  int option_char = 0;
  while ((option_char = getopt_long(argc, argv, "s:", options, nullptr)) !=
         -1) {
    switch (option_char) {
      case 's':
        line.settings = optarg;
        break;
      case 'c':
        line.check_only = true;
        break;
      case 'r':
        fmt::print("{}", Settings::Reference(program.rules));
        line.exit_code = kExitOk;
        return line;
      case 'v':
        fmt::print("{} {}\n", program.name, program.version);
        line.exit_code = kExitOk;
        return line;
      case 'h':
        fmt::print("{}", program.help);
        line.exit_code = kExitOk;
        return line;
      default:
        fmt::print(stderr, "{}", program.help);
        line.exit_code = kExitUsage;
        return line;
    }
  }
  if (line.settings.empty() || optind != argc) {
    fmt::print(stderr, "{}", program.help);
    line.exit_code = kExitUsage;
  }
  return line;
}

}  // namespace hornbeamcleat
