#include <fmt/format.h>
#include <getopt.h>
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
#include "src/control/control_daemon.h"

namespace hornbeamcleat {
namespace {

constexpr char kVersion[] = "0.1.0";
constexpr int kBadUsage = 2;
constexpr char kUsage[] =
    "Usage: hornbeamcleat-control --settings FILE\n"
    "\n"
    "Keeps configuration, membership, leases and moves of one VM.\n"
    "\n"
    "  --settings FILE             INI file\n"
    "  --check-settings            check the file and exit\n"
    "  --print-settings-reference  print all keys as Markdown and exit\n"
    "  --help                      print this text and exit\n"
    "  --version                   print the version and exit\n"
    "\n"
    "Exit codes: 0 planned stop, 1 failure, 2 bad usage or settings.\n";

struct CommandLine {
  std::string settings_file;
  bool check_only = false;
  int exit_code = -1;  // -1 means go on
};

CommandLine ParseCommandLine(int argc, char** argv) {
  static const option options[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check-settings", no_argument, nullptr, 'c'},
      {"print-settings-reference", no_argument, nullptr, 'r'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},
      {nullptr, 0, nullptr, 0}};
  CommandLine out;
  int c = 0;
  while ((c = getopt_long(argc, argv, "s:", options, nullptr)) != -1) {
    switch (c) {
      case 's':
        out.settings_file = optarg;
        break;
      case 'c':
        out.check_only = true;
        break;
      case 'r':
        fmt::print("{}", Settings::Reference(ControlSettingRules()));
        out.exit_code = 0;
        return out;
      case 'h':
        fmt::print("{}", kUsage);
        out.exit_code = 0;
        return out;
      case 'v':
        fmt::print("hornbeamcleat-control {}\n", kVersion);
        out.exit_code = 0;
        return out;
      default:
        fmt::print(stderr, "{}", kUsage);
        out.exit_code = kBadUsage;
        return out;
    }
  }
  if (out.settings_file.empty() || optind != argc) {
    fmt::print(stderr, "{}", kUsage);
    out.exit_code = kBadUsage;
  }
  return out;
}

// Blocked in all threads, so that one thread takes them with sigwait.
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
  std::thread stopper([&] {
    int signal = 0;
    sigwait(&signals, &signal);
    daemon->Quit();
  });
  int exit_code = 1;
  try {
    exit_code = daemon->Run();
  } catch (const std::exception& e) {
    Logger("control").Error("The daemon failed. cause={}", e.what());
  }
  // Ends the thread also when the daemon gave up by itself.
  kill(getpid(), SIGTERM);
  stopper.join();
  return exit_code;
}

int Main(int argc, char** argv) {
  const CommandLine line = ParseCommandLine(argc, argv);
  if (line.exit_code >= 0) {
    return line.exit_code;
  }
  const Logger log("control");
  try {
    const Settings settings =
        Settings::Load(line.settings_file, ControlSettingRules());
    SetLogLevel(ParseLogLevel(settings.Text("log", "level")));
    if (line.check_only) {
      fmt::print("The settings are good.\n");
      return 0;
    }
    return RunDaemon(settings);
  } catch (const Error& e) {
    log.Error("{}", e.what());
    return e.Step() == "read settings" || e.Step() == "parse log level"
               ? kBadUsage
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
