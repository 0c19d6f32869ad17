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
constexpr std::int64_t kRoundNanoseconds = 50'000'000;
// Other entries and callers learn of a drain before the address closes.
constexpr Duration kLeastDrain = std::chrono::seconds(1);

constexpr char kHelp[] =
    "Usage: hornbeamcleat-entry --settings FILE [OPTION]...\n"
    "Takes callers' requests and passes their answers on.\n"
    "\n"
    "  --settings FILE             settings in INI\n"
    "  --check-settings            check the settings and exit\n"
    "  --print-settings-reference  print all settings in Markdown and exit\n"
    "  --version                   print the version and exit\n"
    "  --help                      print this help and exit\n"
    "\n"
    "SIGTERM and SIGINT drain: no new work is taken, and the program exits 0\n"
    "once nothing is in flight. Exit code 2 means wrong usage or settings.\n";

// Runs the part's supervisor until a signal has come and all is drained.
class Daemon {
 public:
  explicit Daemon(const EntryOptions& options)
      : clock_(Clock::Make()),
        timers_(TimerService::Make()),
        metrics_(Metrics::Make()),
        root_(Supervisor::Make("root", RestartPolicy{}, timers_.get())) {
    root_->Add([this, options] { return MakePart(options); });
  }

  int Run(const sigset_t& signals) {
    root_->Start(clock_->Now());
    bool draining = false;
    Time drain_start;
    while (!root_->GaveUp()) {
      const timespec wait{0, kRoundNanoseconds};
      if (sigtimedwait(&signals, nullptr, &wait) > 0 && !draining) {
        draining = true;
        drain_start = clock_->Now();
        root_->Drain(drain_start);
      }
      const Time now = clock_->Now();
      timers_->RunDue(now);
      root_->Guard("entry", now, [this] { part_->Check(); });
      if (draining && now - drain_start >= kLeastDrain && root_->Drained()) {
        root_->Stop();
        log_.Info("All is drained.");
        return kExitOk;
      }
    }
    return kExitFailed;
  }

 private:
  std::unique_ptr<Part> MakePart(const EntryOptions& options) {
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
  // Blocked before threads start, so that only this thread takes them.
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
