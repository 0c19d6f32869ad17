#include "src/relay/relay_daemon.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/timer_service.h"
#include "hornbeamcleat/serving/serving_source.h"
#include "src/base/log_buffer.h"
#include "src/base/loop_probe.h"
#include "src/base/poll_loop.h"
#include "src/net/file_descriptor.h"
#include "src/relay/http_codec.h"
#include "src/relay/relay.h"
#include "src/serving/scale_plan.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kLogFlushPeriod = std::chrono::milliseconds(100);
/// Settings are also checked for changes without a SIGHUP.
constexpr Duration kSettingsCheckPeriod = std::chrono::seconds(2);
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(50);
constexpr char kDrainByte = 'd';
constexpr char kReloadByte = 'r';

const Logger& Log() {
  static const Logger log("daemon");
  return log;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    throw Error("read settings", path, "cannot read the file");
  }
  return text.str();
}

RelayOptions ParseOptions(const std::string& text, const std::string& path) {
  std::istringstream in(text);
  return MakeRelayOptions(Settings::Parse(in, path, RelaySettingRules()));
}

ReadPacing ReadPacingFor(const ScalePlan& plan) {
  return {plan.config_poll_timeout, plan.target_poll_timeout,
          plan.member_poll_timeout, plan.min_config_interval,
          plan.min_target_interval};
}

// Thread that watches the store and posts updates to the traffic loop.
class ControlThread : private ServingListener {
 public:
  ControlThread(PollLoop* traffic_loop, const Clock* clock, Relay* relay,
                const Deployment* deployment, const RelayOptions& options)
      : traffic_loop_(traffic_loop),
        relay_(relay),
        loop_(PollLoop::Make(clock)),
        source_(deployment->MakeSource(
            loop_.get(), clock, options,
            ReadPacingFor(PlanForScale(1, 1, options.operator_limit,
                                       options.target_drain_time)),
            this)) {
    source_->Announce(relay->SelfRecord());
    thread_ = std::thread([this] { loop_->Run(); });
  }

  ~ControlThread() override {
    loop_->Quit();
    thread_.join();
  }

  void Withdraw() {
    loop_->Post([this] { source_->Withdraw(); });
  }

  void Remove(const VmRecord& gone) {
    loop_->Post([this, gone] { source_->Remove(gone); });
  }

  void Record(const MoveRecord& record) {
    loop_->Post([this, record] { source_->RecordMove(record); });
  }

  void RecordRefusal(const PropertyLoss& refusal) {
    loop_->Post([this, refusal] { source_->RecordRefusal(refusal); });
  }

  void RemoveRefusal(RequestProperty property) {
    loop_->Post([this, property] { source_->RemoveRefusal(property); });
  }

  void SetScale(const ScalePlan& plan) {
    loop_->Post([this, plan] { source_->SetPacing(ReadPacingFor(plan)); });
  }

  void SetReadDuty(SharedTopic topic, const ReadDuty& duty) {
    loop_->Post([this, topic, duty] { source_->SetReadDuty(topic, duty); });
  }

  void OnTopicProof(const TopicProof& proof) {
    loop_->Post([this, proof] { source_->OnTopicProof(proof); });
  }

  /// For how long the thread has not taken up posted work; called regularly.
  Duration CheckStall(Time now) { return probe_.Check(now); }

 private:
  void OnConfig(std::shared_ptr<const RouteTable> table) override {
    traffic_loop_->Post([this, table] { relay_->SetConfig(table); });
  }
  void OnConfirmed(Time sent) override {
    traffic_loop_->Post([this, sent] { relay_->OnConfigConfirmed(sent); });
  }
  void OnTargets(const std::vector<ServingTarget>& targets) override {
    traffic_loop_->Post([this, targets] { relay_->SetTargets(targets); });
  }
  void OnEvacuations(const std::set<std::string>& failure_domains) override {
    traffic_loop_->Post(
        [this, failure_domains] { relay_->SetEvacuations(failure_domains); });
  }
  void OnMembers(const std::vector<VmRecord>& members) override {
    traffic_loop_->Post([this, members] { relay_->SetMembers(members); });
  }
  void OnRefusals(const std::vector<PropertyLoss>& refusals) override {
    traffic_loop_->Post([this, refusals] { relay_->SetRefusals(refusals); });
  }
  void OnMoves(const std::vector<MoveOrder>& orders,
               const std::vector<MoveRecord>& records) override {
    traffic_loop_->Post(
        [this, orders, records] { relay_->SetMoves(orders, records); });
  }
  void OnTopicRead(const TopicRead& read) override {
    traffic_loop_->Post([this, read] { relay_->OnTopicRead(read); });
  }

  PollLoop* const traffic_loop_;
  Relay* const relay_;
  const std::unique_ptr<PollLoop> loop_;
  LoopProbe probe_{loop_.get()};
  const std::unique_ptr<ServingSource> source_;
  std::thread thread_;
};

class RelayDaemonImpl : public RelayDaemon {
 public:
  RelayDaemonImpl(std::string settings_path, const Deployment* deployment)
      : settings_path_(std::move(settings_path)),
        settings_text_(ReadFile(settings_path_)),
        options_(ParseOptions(settings_text_, settings_path_)),
        log_buffer_(STDOUT_FILENO),
        clock_(Clock::Make()),
        metrics_(Metrics::Make()),
        loop_(PollLoop::Make(clock_.get())),
        codec_(deployment->MakeHttpCodec()) {
    SetLogSink([this](std::string_view line) { log_buffer_.Add(line); });
    OpenSignalPipe();
    relay_ = Relay::Make(
        loop_.get(), clock_.get(), codec_.get(), metrics_.get(), options_,
        {[this](const VmRecord& vm) { control_->Remove(vm); },
         [this](const ScalePlan& plan) { control_->SetScale(plan); },
         [this](const MoveRecord& record) { control_->Record(record); },
         [this](const PropertyLoss& refusal) {
           control_->RecordRefusal(refusal);
         },
         [this](RequestProperty property) {
           control_->RemoveRefusal(property);
         },
         [this](SharedTopic topic, const ReadDuty& duty) {
           control_->SetReadDuty(topic, duty);
         },
         [this](const TopicProof& proof) { control_->OnTopicProof(proof); }});
    control_ = std::make_unique<ControlThread>(
        loop_.get(), clock_.get(), relay_.get(), deployment, options_);
    const Time now = clock_->Now();
    log_flush_timer_ = loop_->Timers()->Every(
        now, kLogFlushPeriod, [this](Time) { log_buffer_.Flush(); });
    settings_timer_ = loop_->Timers()->Every(
        now + kSettingsCheckPeriod, kSettingsCheckPeriod, [this](Time) {
          Reload();
          CheckControlThread();
        });
  }

  ~RelayDaemonImpl() override {
    control_.reset();
    loop_->Unwatch(signal_read_.Get());
    log_buffer_.Flush();
    SetLogSink([](std::string_view) {});
  }

  void Run() override {
    Log().Info("event=start vm={} failure_domain={} front={} pid={}",
               options_.name, options_.failure_domain,
               options_.caller_address.ToString(), getpid());
    loop_->Run();
    Log().Info("event=stop vm={}", options_.name);
  }

  void RequestDrain() override { Signal(kDrainByte); }
  void RequestReload() override { Signal(kReloadByte); }

 private:
  void OpenSignalPipe() {
    int fds[2] = {-1, -1};
    if (pipe2(fds, O_CLOEXEC | O_NONBLOCK) != 0) {
      throw Error("open signal pipe", "", "cannot create the pipe");
    }
    signal_read_ = FileDescriptor(fds[0]);
    signal_write_ = FileDescriptor(fds[1]);
    loop_->Watch(fds[0], EPOLLIN, [this](std::uint32_t) { OnSignal(); });
  }

  void Signal(char byte) const {
    // A write to a full pipe may fail: pending signals will be handled anyway.
    [[maybe_unused]] const ssize_t n = write(signal_write_.Get(), &byte, 1);
  }

  void OnSignal() {
    char buf[16];
    const ssize_t n = read(signal_read_.Get(), buf, sizeof(buf));
    for (ssize_t i = 0; i < n; ++i) {
      if (buf[i] == kReloadByte) {
        Log().Info("event=reload_requested");
        Reload();
      } else {
        Drain();
      }
    }
  }

  // Invalid settings are rejected and the previous ones stay in effect.
  void Reload() {
    try {
      std::string text = ReadFile(settings_path_);
      if (text == settings_text_) {
        return;
      }
      const RelayOptions options = ParseOptions(text, settings_path_);
      settings_text_ = std::move(text);
      relay_->SetOptions(options);
      Log().Info("event=reload outcome=applied");
    } catch (const Error& e) {
      Log().Error("event=reload outcome=refused error=\"{}\"", e.what());
    }
  }

  // A control thread that is held up reads nothing from the store, while the
  // traffic thread goes on with what it knows.
  void CheckControlThread() {
    const Duration stall = control_->CheckStall(clock_->Now());
    metrics_->Set("stall_seconds", "thread", "control", ToSeconds(stall));
    if (stall > Duration(0)) {
      Log().Error("event=control_stalled seconds={:.1f}", ToSeconds(stall));
    }
  }

  void Drain() {
    if (drain_timer_ != nullptr) {
      return;
    }
    relay_->Drain();
    control_->Withdraw();
    drain_timer_ =
        loop_->Timers()->Every(clock_->Now(), kDrainCheckPeriod, [this](Time) {
          if (relay_->IsDrained()) {
            loop_->Quit();
          }
        });
  }

  const std::string settings_path_;
  std::string settings_text_;
  RelayOptions options_;
  LogBuffer log_buffer_;
  const std::unique_ptr<Clock> clock_;
  const std::unique_ptr<Metrics> metrics_;
  const std::unique_ptr<PollLoop> loop_;
  const std::unique_ptr<HttpCodec> codec_;
  FileDescriptor signal_read_;
  FileDescriptor signal_write_;
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<ControlThread> control_;
  std::unique_ptr<TimerService::Subscription> log_flush_timer_;
  std::unique_ptr<TimerService::Subscription> settings_timer_;
  std::unique_ptr<TimerService::Subscription> drain_timer_;
};

}  // namespace

std::unique_ptr<RelayDaemon> RelayDaemon::Make(const std::string& settings_path,
                                               const Deployment* deployment) {
  return std::make_unique<RelayDaemonImpl>(settings_path, deployment);
}

}  // namespace hornbeamcleat
