#include "src/control/control_daemon.h"

#include <atomic>
#include <future>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/poll_loop.h"
#include "src/control/api_backend.h"
#include "src/control/blocking_calls.h"
#include "src/control/gossip_socket.h"
#include "src/control/link_server.h"
#include "src/control/log_tailer.h"
#include "src/control/move_objection.h"
#include "src/control/watch_hub.h"
#include "src/control/worker.h"
#include "src/platform/http_platform.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kApiTimeout = std::chrono::seconds(15);
constexpr Duration kObservePeriod = std::chrono::seconds(1);
constexpr Duration kLeaseAnswer = std::chrono::milliseconds(500);
constexpr Duration kLeaveTime = std::chrono::milliseconds(300);
constexpr std::size_t kMaxJobs = 1'000;
class EpollControlDaemon : public ControlDaemon,
                           public ControlEffects,
                           public LinkHandler,
                           public ApiBackend {
 public:
  explicit EpollControlDaemon(const ControlDaemonOptions& options)
      : options_(options),
        loop_(PollLoop::Make(clock_.get())),
        core_(ControlCore::Make(options.core, this, metrics_.get())),
        gossip_(GossipSocket::Make(
            options.gossip_listen, loop_.get(),
            [this](const Address& from, std::string_view bytes) {
              core_->OnDatagram(from, bytes, clock_->Now());
            })),
        link_(LinkServer::Make(options.link_listen, loop_.get(), this)) {
    StartWorkers();
    StartTimers();
    StartTailers();
    api_ = ApiServer::Make(options.api, this);
    log_.Info("Running. name={} api={} link={} gossip={}",
              options_.core.self.name, options_.api.listen.ToString(),
              link_->Listening().ToString(), gossip_->Listening().ToString());
  }

  ~EpollControlDaemon() override {
    closing_ = true;
    watches_.Close();
    tailers_.clear();
    api_.reset();
  }

  int Run() override {
    loop_->Run();
    return 0;
  }

  void Quit() override {
    loop_->Post([this] {
      log_.Info("Stopping.");
      core_->Leave(clock_->Now());
      // Time for the announcement to travel.
      quit_timer_ = loop_->Timers()->At(clock_->Now() + kLeaveTime,
                                        [this](Time) { loop_->Quit(); });
    });
  }

  // ControlEffects, on the control thread.

  void Append(const std::string& stream, std::vector<std::string> payloads,
              std::uint64_t token) override {
    const bool taken =
        appender_->Submit([this, stream, payloads = std::move(payloads),
                           token] { AppendNow(stream, payloads, token); });
    if (!taken) {
      ReportAppend(token, AppendEnd::kFailed, 0);
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
      const ConfigState state = DecodeState(body);
      loop_->Post([this, state] { core_->OnPeerState(state, clock_->Now()); });
    });
  }

  void SendOrder(const AddressedOrder& order) override {
    orderer_->Submit([this, order] {
      // Asked again here: the job may have waited, or the process been stopped.
      if (!HoldsLeaseNow()) {
        return;
      }
      log_.Info("An order is sent. target={} version={} fencing={}",
                order.order.target, order.order.version, order.order.fencing);
      SendLoadOrder(order);
    });
  }

  void OnConfig(const std::shared_ptr<const ConfigState>& config,
                const ConfigUpdate& update) override {
    watches_.Publish(config, update);
  }

  // LinkHandler, on the control thread.

  void OnLinkUp() override {
    log_.Info("The entry connected.");
    core_->OnEntryConnected(true, clock_->Now());
  }
  void OnLinkDown() override {
    log_.Warning("The entry is gone.");
    core_->OnEntryConnected(false, clock_->Now());
  }
  void OnLinkMessage(const LinkMessage& message) override {
    core_->OnEntryMessage(message, clock_->Now());
  }

  // ApiBackend, on the API's threads.

  std::shared_ptr<const ConfigState> Config() override {
    return watches_.Config();
  }

  std::string Objection(const Resource& resource) override {
    const std::shared_ptr<const ConfigState> config = Config();
    if (config == nullptr) {
      return "";
    }
    return MoveObjection(resource, *config, options_.weight_bytes_per_second,
                         clock_->WallNow());
  }

  ApplyAnswer Apply(const ConfigRecord& record) override {
    const std::shared_ptr<std::promise<ApplyAnswer>> promise =
        std::make_shared<std::promise<ApplyAnswer>>();
    std::future<ApplyAnswer> future = promise->get_future();
    loop_->Post([this, record, promise] {
      core_->Apply(
          record,
          [promise](const ApplyAnswer& answer) { promise->set_value(answer); },
          clock_->Now());
    });
    if (future.wait_for(kApiTimeout) != std::future_status::ready) {
      return {ApplyEnd::kUnknown, 0, "the daemon took too long"};
    }
    return future.get();
  }

  WatchAnswer Watch(std::uint64_t from, Duration wait) override {
    return watches_.Wait(from, wait);
  }

  ControlStatus Status() override {
    const std::shared_ptr<std::promise<ControlStatus>> promise =
        std::make_shared<std::promise<ControlStatus>>();
    std::future<ControlStatus> future = promise->get_future();
    loop_->Post([this, promise] { promise->set_value(core_->Status()); });
    if (future.wait_for(kApiTimeout) != std::future_status::ready) {
      throw Error("read status", "", "the daemon took too long");
    }
    return future.get();
  }

  std::string Explain(const std::string& request_id) override {
    return HttpGet("explain", options_.entry_admin, "/explain/" + request_id,
                   "", false);
  }

  std::string ExposeMetrics() override { return metrics_->Expose(); }

 private:
  void StartWorkers() {
    append_log_ =
        MakeHttpLogService(options_.platform, options_.platform_timeout);
    vm_list_ = MakeHttpVmList(options_.platform, options_.platform_timeout);
    appender_ = std::make_unique<Worker>("append", kMaxJobs);
    fetcher_ = std::make_unique<Worker>("fetch", 1);
    orderer_ = std::make_unique<Worker>("order", kMaxJobs);
    observer_ = std::make_unique<Worker>("observe", kMaxJobs);
    vm_reader_ = std::make_unique<Worker>("vms", 1);
  }

  void StartTimers() {
    const Time now = clock_->Now();
    tick_ = loop_->Timers()->Every(
        now, kTick, [this](Time due) { core_->Tick(due, clock_->WallNow()); });
    vm_timer_ = loop_->Timers()->Every(now, options_.vm_list_period,
                                       [this](Time) { ReadVms(); });
    observe_timer_ = loop_->Timers()->Every(
        now, kObservePeriod, [this](Time due) { ObserveTargets(due); });
  }

  void StartTailers() {
    for (const char* stream : {kConfigStream, kLeaseStream, kIntentStream}) {
      tailers_.push_back(std::make_unique<LogTailer>(
          MakeHttpLogService(options_.platform, options_.platform_timeout),
          stream, core_->NextOffset(stream),
          [this, name = std::string(stream)](std::uint64_t from,
                                             const LogRead& read) {
            return Deliver(name, from, read);
          }));
    }
  }

  // Hands a read to the control thread and waits, so that reads stay in order
  // and the reader never runs ahead of the fold.
  std::uint64_t Deliver(const std::string& stream, std::uint64_t from,
                        const LogRead& read) {
    const std::shared_ptr<std::promise<std::uint64_t>> promise =
        std::make_shared<std::promise<std::uint64_t>>();
    std::future<std::uint64_t> future = promise->get_future();
    loop_->Post([this, stream, from, read, promise] {
      core_->OnLogRead(stream, from, read, clock_->Now());
      promise->set_value(core_->NextOffset(stream));
    });
    while (future.wait_for(kTick) != std::future_status::ready) {
      if (closing_) {
        return 1;
      }
    }
    return future.get();
  }

  void AppendNow(const std::string& stream,
                 const std::vector<std::string>& payloads,
                 std::uint64_t token) {
    try {
      ReportAppend(token, AppendEnd::kDone,
                   append_log_->AppendBatch(stream, payloads));
    } catch (const AppendUnknown& e) {
      log_.Warning("An append's answer was lost. stream={} cause={}", stream,
                   e.what());
      metrics_->Count("log_appends_total", "end", "unknown");
      ReportAppend(token, AppendEnd::kUnknown, 0);
    } catch (const Error& e) {
      log_.Warning("An append failed. stream={} cause={}", stream, e.what());
      metrics_->Count("log_appends_total", "end", "failed");
      ReportAppend(token, AppendEnd::kFailed, 0);
    }
  }

  void ReportAppend(std::uint64_t token, AppendEnd end, std::uint64_t offset) {
    loop_->Post([this, token, end, offset] {
      core_->OnAppendEnd(token, end, offset, clock_->Now());
    });
  }

  void ReadVms() {
    vm_reader_->Submit([this] {
      const std::vector<VmEntry> vms = vm_list_->Get();
      loop_->Post([this, vms] { core_->OnVms(vms); });
    });
  }

  void ObserveTargets(Time now) {
    for (const TargetToObserve& target : core_->ToObserve(now)) {
      observer_->Submit([this, target] {
        const Time sent = clock_->Now();
        const LoadState state = ObserveTarget(target);
        loop_->Post([this, target, state, sent] {
          core_->OnObserved(target, state, sent);
        });
      });
    }
  }

  // On a worker's thread.
  bool HoldsLeaseNow() {
    const std::shared_ptr<std::promise<bool>> promise =
        std::make_shared<std::promise<bool>>();
    std::future<bool> future = promise->get_future();
    loop_->Post([this, promise] {
      promise->set_value(core_->HoldsLease(clock_->Now()));
    });
    return future.wait_for(kLeaseAnswer) == std::future_status::ready &&
           future.get();
  }

  ControlDaemonOptions options_;
  Logger log_{"control"};
  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<Metrics> metrics_ = Metrics::Make();
  std::unique_ptr<PollLoop> loop_;
  std::unique_ptr<ControlCore> core_;
  std::unique_ptr<GossipSocket> gossip_;
  std::unique_ptr<LinkServer> link_;
  WatchHub watches_;
  std::unique_ptr<TimerService::Subscription> tick_;
  std::unique_ptr<TimerService::Subscription> vm_timer_;
  std::unique_ptr<TimerService::Subscription> observe_timer_;
  std::unique_ptr<TimerService::Subscription> quit_timer_;
  std::atomic<bool> closing_{false};
  std::unique_ptr<LogService> append_log_;
  std::unique_ptr<VmList> vm_list_;
  std::unique_ptr<Worker> appender_;
  std::unique_ptr<Worker> fetcher_;
  std::unique_ptr<Worker> orderer_;
  std::unique_ptr<Worker> observer_;
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
