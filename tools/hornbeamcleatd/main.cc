#include <fmt/format.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <string>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "platform/platform_deployment.h"
#include "src/base/daemon_command_line.h"
#include "src/relay/relay_daemon.h"

namespace hornbeamcleat {
namespace {

constexpr char kVersion[] = "0.2.0";
constexpr char kSettingsVariable[] = "HORNBEAMCLEAT_CONFIG";
constexpr char kLogVariable[] = "HORNBEAMCLEAT_LOG";

constexpr char kHelp[] =
    "Usage: hornbeamcleatd [OPTION]...\n"
    "Relay for the callers of one VM. Accepts requests, schedules them onto\n"
    "targets in coordination with the other VMs, and forwards the responses.\n"
    "\n"
    "  --settings FILE             settings file in INI format; default: the "
    "file\n"
    "                              that HORNBEAMCLEAT_CONFIG names\n"
    "  --check-settings            validate the settings and exit\n"
    "  --print-settings-reference  print all settings as Markdown and exit\n"
    "  --version                   print the version and exit\n"
    "  --help                      print this help and exit\n"
    "\n"
    "SIGTERM and SIGINT stop it once no request is in flight; SIGHUP reloads\n"
    "the settings. HORNBEAMCLEAT_LOG sets the minimum log level: debug, info,\n"
    "warning or error. Exit code 2 means invalid usage or settings.\n";

/// Daemon that the signal handlers notify; set before they are installed.
RelayDaemon* running_daemon = nullptr;

void OnSignal(int number) {
  if (number == SIGHUP) {
    running_daemon->RequestReload();
  } else {
    running_daemon->RequestDrain();
  }
}

void InstallHandlers(RelayDaemon* daemon) {
  running_daemon = daemon;
  struct sigaction action = {};
  action.sa_handler = OnSignal;
  action.sa_flags = SA_RESTART;
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaction(number, &action, nullptr);
  }
}

int Main(int argc, char** argv) {
  const char* path = std::getenv(kSettingsVariable);
  const DaemonCommandLine line = ParseDaemonCommandLine(
      argc, argv, {"hornbeamcleatd", kVersion, kHelp, RelaySettingRules()},
      path == nullptr ? "" : path);
  if (line.exit_code >= 0) {
    return line.exit_code;
  }
  try {
    if (line.check_only) {
      MakeRelayOptions(Settings::Load(line.settings, RelaySettingRules()));
      return kExitOk;
    }
    const char* level = std::getenv(kLogVariable);
    SetLogLevel(ParseLogLevel(level == nullptr ? "info" : level));
    signal(SIGPIPE, SIG_IGN);
    const std::unique_ptr<Deployment> deployment =
        platform::MakePlatformDeployment();
    const std::unique_ptr<RelayDaemon> daemon =
        RelayDaemon::Make(line.settings, deployment.get());
    InstallHandlers(daemon.get());
    daemon->Run();
    // The handlers must not access the destroyed daemon.
    signal(SIGTERM, SIG_IGN);
    signal(SIGINT, SIG_IGN);
    signal(SIGHUP, SIG_IGN);
  } catch (const Error& e) {
    fmt::print(stderr, "{}\n", e.what());
    return kExitUsage;
  }
  return kExitOk;
}

}  // namespace
}  // namespace hornbeamcleat

int main(int argc, char** argv) {
  try {
    return hornbeamcleat::Main(argc, argv);
  } catch (const std::exception& e) {
    fmt::print(stderr, "{}\n", e.what());
    return 1;
  }
}
