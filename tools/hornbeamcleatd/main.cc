#include <fmt/format.h>
#include <getopt.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <string>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "platform/platform_deployment.h"
#include "src/relay/relay_daemon.h"

namespace hornbeamcleat {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr char kVersion[] = "0.2.0";
constexpr char kSettingsVariable[] = "HORNBEAMCLEAT_CONFIG";
constexpr char kLogVariable[] = "HORNBEAMCLEAT_LOG";

constexpr char kHelp[] =
    "Usage: hornbeamcleatd [OPTION]...\n"
    "Serves callers of one VM: takes requests, places them at targets "
    "together\n"
    "with the other VMs, and passes the answers on.\n"
    "\n"
    "  --settings FILE             settings in INI; without it, the file that\n"
    "                              HORNBEAMCLEAT_CONFIG names\n"
    "  --check-settings            check the settings and exit\n"
    "  --print-settings-reference  print all settings in Markdown and exit\n"
    "  --version                   print the version and exit\n"
    "  --help                      print this help and exit\n"
    "\n"
    "SIGTERM and SIGINT stop it once nothing is in flight; SIGHUP reads the\n"
    "settings again. HORNBEAMCLEAT_LOG sets the least level of log lines:\n"
    "debug, info, warning or error. Exit code 2 means wrong usage or "
    "settings.\n";

struct CommandLine {
  std::string settings;
  bool check_only = false;
  int exit_code = -1;  ///< of an option that ends the program; -1 if none
};

CommandLine Parse(int argc, char** argv) {
  enum Option { kSettings = 1, kCheck, kReference, kShowVersion, kShowHelp };
  const option options[] = {
      {"settings", required_argument, nullptr, kSettings},
      {"check-settings", no_argument, nullptr, kCheck},
      {"print-settings-reference", no_argument, nullptr, kReference},
      {"version", no_argument, nullptr, kShowVersion},
      {"help", no_argument, nullptr, kShowHelp},
      {nullptr, 0, nullptr, 0}};
  CommandLine line;
  const char* path = std::getenv(kSettingsVariable);
  line.settings = path == nullptr ? "" : path;
  int found = 0;
  while ((found = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    switch (found) {
      case kSettings:
        line.settings = optarg;
        break;
      case kCheck:
        line.check_only = true;
        break;
      case kReference:
        fmt::print("{}", Settings::Reference(RelaySettingRules()));
        line.exit_code = kExitOk;
        return line;
      case kShowVersion:
        fmt::print("hornbeamcleatd {}\n", kVersion);
        line.exit_code = kExitOk;
        return line;
      case kShowHelp:
        fmt::print("{}", kHelp);
        line.exit_code = kExitOk;
        return line;
      default:
        line.exit_code = kExitUsage;
        return line;
    }
  }
  if (line.settings.empty() || optind != argc) {
    fmt::print(stderr, "{}", kHelp);
    line.exit_code = kExitUsage;
  }
  return line;
}

/// Target of the signal handlers; set before they are installed.
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
  const CommandLine line = Parse(argc, argv);
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
    // The handlers must not reach a daemon that is gone.
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
