#include <fmt/format.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <exception>
#include <string>
#include <thread>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "src/base/daemon_command_line.h"
#include "src/control/control_daemon.h"

namespace hornbeamcleat {
namespace {

constexpr char kVersion[] = "0.1.0";
constexpr char kUsage[] =
    "Usage: hornbeamcleat-control --settings FILE\n"
    "\n"
    "Manages the configuration, membership, leases and moves of one VM.\n"
    "\n"
    "  --settings FILE             INI file\n"
    "  --check-settings            validate the file and exit\n"
    "  --print-settings-reference  print all settings as Markdown and exit\n"
    "  --help                      print this text and exit\n"
    "  --version                   print the version and exit\n"
    "\n"
    "Exit codes: 0 clean shutdown, 1 failure, 2 invalid usage or settings.\n";

// Blocks the signals in all threads, so that one thread can receive them with
// sigwait.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int RunDaemon(const Settings& settings) {
  const sigset_t signals = BlockStopSignals();
  const std::unique_ptr<Clock> clock = Clock::Make();
  const std::uint64_t incarnation =
      static_cast<std::uint64_t>(clock->WallNow().time_since_epoch().count());
  const std::unique_ptr<ControlDaemon> daemon =
      ControlDaemon::Make(ReadControlOptions(settings, incarnation));
  std::thread signal_thread([&] {
    int signal = 0;
    sigwait(&signals, &signal);
    daemon->Quit();
  });
  int exit_code = 1;
  try {
    exit_code = daemon->Run();
  } catch (const std::exception& e) {
    Logger("control").Error("Daemon failed. cause={}", e.what());
  }
  // Wakes the signal thread if the daemon ended without a signal.
  kill(getpid(), SIGTERM);
  signal_thread.join();
  return exit_code;
}

int Main(int argc, char** argv) {
  const DaemonCommandLine line = ParseDaemonCommandLine(
      argc, argv,
      {"hornbeamcleat-control", kVersion, kUsage, ControlSettingRules()});
  if (line.exit_code >= 0) {
    return line.exit_code;
  }
  const Logger log("control");
  try {
    const Settings settings =
        Settings::Load(line.settings, ControlSettingRules());
    SetLogLevel(ParseLogLevel(settings.Text("log", "level")));
    if (line.check_only) {
      fmt::print("The settings are valid.\n");
      return 0;
    }
    return RunDaemon(settings);
  } catch (const Error& e) {
    log.Error("{}", e.what());
    return e.Step() == "read settings" || e.Step() == "parse log level"
               ? kExitUsage
               : 1;
  }
}

}  // namespace
}  // namespace hornbeamcleat

int main(int argc, char** argv) {
  try {
    return hornbeamcleat::Main(argc, argv);
  } catch (const std::exception& e) {
    fmt::print(stderr, "hornbeamcleat-control: {}\n", e.what());
    return 1;
  }
}
