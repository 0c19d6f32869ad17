#include <fmt/format.h>
#include <signal.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <exception>
#include <memory>
#include <string>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/supervisor.h"
#include "hornbeamcleat/base/timer_service.h"
#include "hornbeamcleat/schedule/scheduler.h"
#include "src/base/daemon_command_line.h"
#include "src/entry/entry_options.h"
#include "src/entry/entry_part.h"

namespace hornbeamcleat {
namespace {

constexpr char kVersion[] = "0.1.0";
constexpr std::int64_t kPollIntervalNanoseconds = 50'000'000;
// Lets other entries and callers learn of the drain before the listening socket
// closes.
constexpr Duration kMinDrainTime = std::chrono::seconds(1);

constexpr char kHelp[] =
    "Usage: hornbeamcleat-entry --settings FILE [OPTION]...\n"
    "Accepts requests from callers and forwards the responses.\n"
    "\n"
    "  --settings FILE             settings file in INI format\n"
    "  --check-settings            validate the settings and exit\n"
    "  --print-settings-reference  print all settings as Markdown and exit\n"
    "  --version                   print the version and exit\n"
    "  --help                      print this help and exit\n"
    "\n"
    "SIGTERM and SIGINT drain: no new requests are accepted, and the program\n"
    "exits with 0 once no request is in flight. Exit code 2 means invalid "
    "usage\n"
    "or settings.\n";

// Runs the supervisor until a signal arrives and all requests have completed.
class Daemon {
 public:
  explicit Daemon(const EntryOptions& options)
      : clock_(Clock::Make()),
        timers_(TimerService::Make()),
        metrics_(Metrics::Make()),
        root_(Supervisor::Make("root", RestartPolicy{}, timers_.get())) {
    root_->Add([this, options] { return MakeComponent(options); });
  }

  int Run(const sigset_t& signals) {
    root_->Start(clock_->Now());
    bool draining = false;
    Time drain_start;
    while (!root_->RestartLimitExceeded()) {
      const timespec wait{0, kPollIntervalNanoseconds};
      if (sigtimedwait(&signals, nullptr, &wait) > 0 && !draining) {
        draining = true;
        drain_start = clock_->Now();
        root_->Drain(drain_start);
      }
      const Time now = clock_->Now();
      timers_->RunDue(now);
      root_->Guard("entry", now, [this] { part_->Check(); });
      if (draining && now - drain_start >= kMinDrainTime && root_->Drained()) {
        root_->Stop();
        log_.Info("Drain completed.");
        return kExitOk;
      }
    }
    return kExitFailed;
  }

 private:
  std::unique_ptr<Component> MakeComponent(const EntryOptions& options) {
    std::unique_ptr<EntryPart> part = EntryPart::Make(
        options, [options] { return Scheduler::Make(options.scheduler); },
        metrics_.get());
    part_ = part.get();
    return part;
  }

  Logger log_{"main"};
  std::unique_ptr<Clock> clock_;
  std::unique_ptr<TimerService> timers_;
  std::unique_ptr<Metrics> metrics_;
  EntryPart* part_ = nullptr;
  std::unique_ptr<Supervisor> root_;
};

int Main(int argc, char** argv) {
  const DaemonCommandLine line = ParseDaemonCommandLine(
      argc, argv,
      {"hornbeamcleat-entry", kVersion, kHelp, EntrySettingRules()});
  if (line.exit_code >= 0) {
    return line.exit_code;
  }
  EntryOptions options;
  try {
    const Settings settings =
        Settings::Load(line.settings, EntrySettingRules());
    options = MakeEntryOptions(settings);
    SetLogLevel(ParseLogLevel(settings.Text("entry", "log_level")));
  } catch (const Error& e) {
    fmt::print(stderr, "{}\n", e.what());
    return kExitUsage;
  }
  if (line.check_only) {
    return kExitOk;
  }
  // Blocks the signals before other threads start, so that only this thread
  // receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return Daemon(options).Run(signals);
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
