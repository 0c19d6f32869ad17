#include "src/control/control_daemon.h"

#include <atomic>
#include <functional>
#include <future>
#include <optional>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/supervisor.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/control/api_backend.h"
#include "src/control/blocking_calls.h"
#include "src/control/gossip_socket.h"
#include "src/control/link_server.h"
#include "src/control/log_tailer.h"
#include "src/control/move_rejection.h"
#include "src/control/watch_hub.h"
#include "src/control/worker.h"
#include "src/platform/http_platform.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kApiTimeout = std::chrono::seconds(15);
constexpr Duration kTargetQueryPeriod = std::chrono::seconds(1);
constexpr Duration kLeaseCheckTimeout = std::chrono::milliseconds(500);
constexpr Duration kLeaveDelay = std::chrono::milliseconds(300);
constexpr std::size_t kMaxJobs = 1'000;
class EpollControlDaemon : public ControlDaemon,
                           public ControlDelegate,
                           public LinkHandler,
                           public ApiBackend {
 public:
  explicit EpollControlDaemon(const ControlDaemonOptions& options)
      : options_(options),
        loop_(PollLoop::Make(clock_.get())),
        supervisor_(
            Supervisor::Make("control", RestartPolicy{}, loop_->Timers())),
        gossip_(GossipSocket::Make(
            options.gossip_listen, loop_.get(),
            [this](const Address& from, std::string_view bytes) {
              WithCore([&](ControlCore* core) {
                core->OnDatagram(from, bytes, clock_->Now());
              });
            })),
        link_(LinkServer::Make(options.link_listen, loop_.get(), this)) {
    supervisor_->Add([this] { return std::make_unique<CorePart>(this); });
    supervisor_->Start(clock_->Now());
    StartWorkers();
    StartTimers();
    StartTailers();
    api_ = ApiServer::Make(options.api, this);
    log_.Info("Running. name={} api={} link={} gossip={}",
              options_.core.self.name, options_.api.listen.ToString(),
              link_->ListenAddress().ToString(),
              gossip_->ListenAddress().ToString());
  }

  ~EpollControlDaemon() override {
    closing_ = true;
    watches_.Close();
    tailers_.clear();
    api_.reset();
  }

  int Run() override {
    while (!quit_) {
      supervisor_->Guard("core", clock_->Now(),
                         [this] { loop_->RunOnce(kTick); });
      if (supervisor_->RestartLimitExceeded()) {
        return 1;
      }
    }
    return 0;
  }

  void Quit() override {
    loop_->Post([this] {
      log_.Info("Stopping.");
      supervisor_->Drain(clock_->Now());
      // Gives the announcement time to reach the peers.
      quit_timer_ = loop_->Timers()->At(clock_->Now() + kLeaveDelay,
                                        [this](Time) { quit_ = true; });
    });
  }

  // ControlDelegate, on the control thread.

  void Append(const std::string& stream, std::vector<std::string> payloads,
              std::uint64_t token) override {
    const bool queued =
        appender_->Submit([this, stream, payloads = std::move(payloads),
                           token] { AppendNow(stream, payloads, token); });
    if (!queued) {
      ReportAppend(token, AppendStatus::kFailed, 0);
    }
  }

  void Send(const Datagram& datagram) override { gossip_->Send(datagram); }

  void SendToEntry(const LinkMessage& message) override {
    link_->Send(message);
  }

  void FetchState(const std::string& api) override {
    fetcher_->Submit([this, api] {
      const std::string body =
          HttpGet("fetch the configuration", Address::Parse(api), "/api/state",
                  options_.api.token, !options_.api.certificate.empty());
      PostToCore([this, state = DecodeState(body)](ControlCore* core) {
        core->OnPeerState(state, clock_->Now());
      });
    });
  }

  void SendLoadCommand(const AddressedLoadCommand& addressed) override {
    load_command_worker_->Submit([this, addressed] {
      // Checks the lease again, because the job may have been queued for long
      // or the process suspended.
      const std::optional<bool> holds = QueryCore<bool>(
          [this](ControlCore* core) { return core->HoldsLease(clock_->Now()); },
          kLeaseCheckTimeout);
      if (!holds.value_or(false)) {
        return;
      }
      log_.Info("Sending a load command. target={} version={} fencing={}",
                addressed.command.target, addressed.command.version,
                addressed.command.fencing);
      PostLoadCommand(addressed);
    });
  }

  void OnConfig(const std::shared_ptr<const ConfigState>& config,
                const ConfigUpdate& update) override {
    watches_.Publish(config, update);
  }

  // LinkHandler, on the control thread.

  void OnLinkUp() override {
    log_.Info("Entry connected.");
    SetEntryConnected(true);
  }
  void OnLinkDown() override {
    log_.Warning("Entry disconnected.");
    SetEntryConnected(false);
  }
  void OnLinkMessage(const LinkMessage& message) override {
    WithCore([&](ControlCore* core) {
      core->OnEntryMessage(message, clock_->Now());
    });
  }

  // ApiBackend, on the API's threads.

  std::shared_ptr<const ConfigState> Config() override {
    return watches_.Config();
  }

  std::string RejectionReason(const Resource& resource) override {
    const std::shared_ptr<const ConfigState> config = Config();
    if (config == nullptr) {
      return "";
    }
    return MoveRejectionReason(
        resource, *config, options_.weight_bytes_per_second, clock_->WallNow());
  }

  ApplyResult Apply(const ConfigRecord& record) override {
    const std::shared_ptr<std::promise<ApplyResult>> promise =
        std::make_shared<std::promise<ApplyResult>>();
    std::future<ApplyResult> future = promise->get_future();
    PostToCore([this, record, promise](ControlCore* core) {
      core->Apply(
          record,
          [promise](const ApplyResult& result) { promise->set_value(result); },
          clock_->Now());
    });
    return Await(&future, kApiTimeout)
        .value_or(ApplyResult{ApplyStatus::kUnknown, 0,
                              "the control thread did not respond in time"});
  }

  WatchResult Watch(std::uint64_t from, Duration wait) override {
    return watches_.Wait(from, wait);
  }

  ControlStatus Status() override {
    const std::optional<ControlStatus> status = QueryCore<ControlStatus>(
        [](ControlCore* core) { return core->Status(); }, kApiTimeout);
    if (!status) {
      throw Error("read status", "",
                  "the control thread did not respond in time");
    }
    return *status;
  }

  std::string Explain(const std::string& request_id) override {
    return HttpGet("explain", options_.entry_admin, "/explain/" + request_id,
                   "", false);
  }

  std::string ExposeMetrics() override { return metrics_->Expose(); }

 private:
  // Supervises the core. After a failure the core is created again, and the log
  // readers restart from the beginning.
  class CorePart : public Component {
   public:
    explicit CorePart(EpollControlDaemon* daemon) : daemon_(daemon) {}

    const char* Name() const override { return "core"; }
    void Start(Time now) override { daemon_->MakeCore(now); }
    void Drain(Time now) override { daemon_->core_->Leave(now); }
    bool Drained() const override { return true; }
    void Stop() override { daemon_->core_.reset(); }

   private:
    EpollControlDaemon* daemon_;
  };

  void MakeCore(Time now) {
    core_ = ControlCore::Make(options_.core, this, metrics_.get());
    core_->OnEntryConnected(entry_connected_, now);
    // Peers must be able to tell the next core from this one.
    ++options_.core.self.incarnation;
  }

  // Call on the control thread. Does nothing while the core is restarting.
  void WithCore(const std::function<void(ControlCore*)>& work) {
    if (core_ != nullptr) {
      work(core_.get());
    }
  }

  void PostToCore(std::function<void(ControlCore*)> work) {
    loop_->Post([this, work = std::move(work)] { WithCore(work); });
  }

  // Call on any other thread. Returns nullopt on a timeout or if the core
  // dropped the promise.
  template <typename T>
  std::optional<T> Await(std::future<T>* future, Duration timeout) const {
    if (future->wait_for(timeout) != std::future_status::ready) {
      return std::nullopt;
    }
    try {
      return future->get();
    } catch (const std::future_error&) {
      return std::nullopt;
    }
  }

  template <typename T>
  std::optional<T> QueryCore(std::function<T(ControlCore*)> question,
                             Duration timeout) {
    const std::shared_ptr<std::promise<T>> promise =
        std::make_shared<std::promise<T>>();
    std::future<T> future = promise->get_future();
    PostToCore([promise, question](ControlCore* core) {
      promise->set_value(question(core));
    });
    return Await(&future, timeout);
  }

  void SetEntryConnected(bool connected) {
    entry_connected_ = connected;
    WithCore([&](ControlCore* core) {
      core->OnEntryConnected(connected, clock_->Now());
    });
  }

  void StartWorkers() {
    append_log_ =
        MakeHttpLogService(options_.platform, options_.platform_timeout);
    vm_list_ = MakeHttpVmList(options_.platform, options_.platform_timeout);
    appender_ = std::make_unique<Worker>("append", kMaxJobs);
    fetcher_ = std::make_unique<Worker>("fetch", 1);
    load_command_worker_ = std::make_unique<Worker>("order", kMaxJobs);
    target_query_worker_ = std::make_unique<Worker>("observe", kMaxJobs);
    vm_reader_ = std::make_unique<Worker>("vms", 1);
  }

  void StartTimers() {
    const Time now = clock_->Now();
    tick_ = loop_->Timers()->Every(now, kTick, [this](Time due) {
      WithCore([&](ControlCore* core) { core->Tick(due, clock_->WallNow()); });
    });
    vm_timer_ = loop_->Timers()->Every(now, options_.vm_list_period,
                                       [this](Time) { ReadVms(); });
    target_query_timer_ = loop_->Timers()->Every(
        now, kTargetQueryPeriod, [this](Time due) { QueryTargets(due); });
  }

  void StartTailers() {
    for (const char* stream : {kConfigStream, kLeaseStream, kIntentStream}) {
      tailers_.push_back(std::make_unique<LogTailer>(
          MakeHttpLogService(options_.platform, options_.platform_timeout),
          stream, 1,
          [this, name = std::string(stream)](std::uint64_t from,
                                             const LogRead& read) {
            return DeliverRead(name, from, read);
          }));
    }
  }

  // Passes a read to the control thread and waits, so that reads stay in order
  // and the reader never runs ahead of the configuration.
  std::uint64_t DeliverRead(const std::string& stream, std::uint64_t from,
                            const LogRead& read) {
    const std::shared_ptr<std::promise<std::uint64_t>> promise =
        std::make_shared<std::promise<std::uint64_t>>();
    std::future<std::uint64_t> future = promise->get_future();
    PostToCore([this, stream, from, read, promise](ControlCore* core) {
      core->OnLogRead(stream, from, read, clock_->Now());
      promise->set_value(core->NextOffset(stream));
    });
    while (!closing_) {
      if (future.wait_for(kTick) == std::future_status::ready) {
        return Await(&future, kTick).value_or(1);
      }
    }
    return 1;
  }

  void AppendNow(const std::string& stream,
                 const std::vector<std::string>& payloads,
                 std::uint64_t token) {
    try {
      ReportAppend(token, AppendStatus::kDone,
                   append_log_->AppendBatch(stream, payloads));
      metrics_->Count("log_appends_total", "end", "done");
    } catch (const AppendOutcomeUnknown& e) {
      log_.Warning("Append outcome is unknown. stream={} cause={}", stream,
                   e.what());
      metrics_->Count("log_appends_total", "end", "unknown");
      ReportAppend(token, AppendStatus::kUnknown, 0);
    } catch (const Error& e) {
      log_.Warning("Append failed. stream={} cause={}", stream, e.what());
      metrics_->Count("log_appends_total", "end", "failed");
      ReportAppend(token, AppendStatus::kFailed, 0);
    }
  }

  void ReportAppend(std::uint64_t token, AppendStatus status,
                    std::uint64_t offset) {
    PostToCore([this, token, status, offset](ControlCore* core) {
      core->OnAppendFinished(token, status, offset, clock_->Now());
    });
  }

  void ReadVms() {
    vm_reader_->Submit([this] {
      PostToCore(
          [vms = vm_list_->Get()](ControlCore* core) { core->OnVms(vms); });
    });
  }

  void QueryTargets(Time now) {
    WithCore([&](ControlCore* core) {
      for (const TargetQuery& target : core->TargetsToQuery(now)) {
        target_query_worker_->Submit([this, target] { QueryTarget(target); });
      }
    });
  }

  // Runs on a worker thread.
  void QueryTarget(const TargetQuery& target) {
    const Time sent = clock_->Now();
    try {
      const LoadState state = QueryLoadState(target);
      PostToCore([target, state, sent](ControlCore* core) {
        core->OnTargetState(target, state, sent);
      });
    } catch (const Error& e) {
      log_.Warning("Failed to query a target. target={} cause={}",
                   target.target, e.what());
      PostToCore(
          [target](ControlCore* core) { core->OnTargetQueryFailed(target); });
    }
  }

  ControlDaemonOptions options_;
  Logger log_{"control"};
  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<Metrics> metrics_ = Metrics::Make();
  std::unique_ptr<PollLoop> loop_;
  std::unique_ptr<Supervisor> supervisor_;
  std::unique_ptr<ControlCore> core_;  // null while it is restarting
  bool entry_connected_ = false;
  bool quit_ = false;
  std::unique_ptr<GossipSocket> gossip_;
  std::unique_ptr<LinkServer> link_;
  WatchHub watches_;
  std::unique_ptr<TimerService::Subscription> tick_;
  std::unique_ptr<TimerService::Subscription> vm_timer_;
  std::unique_ptr<TimerService::Subscription> target_query_timer_;
  std::unique_ptr<TimerService::Subscription> quit_timer_;
  std::atomic<bool> closing_{false};
  std::unique_ptr<LogService> append_log_;
  std::unique_ptr<VmList> vm_list_;
  std::unique_ptr<Worker> appender_;
  std::unique_ptr<Worker> fetcher_;
  std::unique_ptr<Worker> load_command_worker_;
  std::unique_ptr<Worker> target_query_worker_;
  std::unique_ptr<Worker> vm_reader_;
  std::vector<std::unique_ptr<LogTailer>> tailers_;
  std::unique_ptr<ApiServer> api_;
};

}  // namespace

std::unique_ptr<ControlDaemon> ControlDaemon::Make(
    const ControlDaemonOptions& options) {
  return std::make_unique<EpollControlDaemon>(options);
}

}  // namespace hornbeamcleat
