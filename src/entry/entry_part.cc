#include "src/entry/entry_part.h"

#include <utility>

#include "hornbeamcleat/base/log.h"
#include "src/entry/control_loop.h"
#include "src/entry/loop_message.h"
#include "src/entry/loop_thread.h"
#include "src/entry/traffic_loop.h"
#include "src/net/mailbox.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kMaxLoopWait = std::chrono::milliseconds(100);

class TwoThreadEntry : public EntryPart {
 public:
  TwoThreadEntry(const EntryOptions& options, SchedulerFactory scheduler,
                 Metrics* metrics)
      : options_(options),
        scheduler_(std::move(scheduler)),
        metrics_(metrics) {}

  ~TwoThreadEntry() override { StopThreads(); }

  const char* Name() const override { return "entry"; }

  void Start(Time) override {
    to_control_ = std::make_unique<Mailbox<ControlMessage>>();
    to_traffic_ = std::make_unique<Mailbox<TrafficMessage>>();
    traffic_ =
        TrafficLoop::Make(options_, to_control_.get(), to_traffic_.get());
    control_ = ControlLoop::Make(options_, scheduler_(), metrics_,
                                 to_control_.get(), to_traffic_.get());
    traffic_thread_ = std::make_unique<LoopThread>(
        [this] { traffic_->RunOnce(kMaxLoopWait); });
    control_thread_ = std::make_unique<LoopThread>(
        [this] { control_->RunOnce(kMaxLoopWait); });
    log_.Info("Serving. callers={} admin={}", Listening().ToString(),
              AdminListening().ToString());
  }

  void Drain(Time) override { to_control_->Send(DrainMessage{}); }

  bool Drained() const override {
    return control_ == nullptr ||
           (control_->Draining() && control_->Open() == 0 &&
            traffic_->Open() == 0);
  }

  void Stop() override { StopThreads(); }

  Address Listening() const override { return traffic_->Listening(); }
  Address AdminListening() const override { return control_->AdminListening(); }

  void Check() const override {
    if (traffic_thread_ != nullptr) {
      traffic_thread_->Check();
      control_thread_->Check();
    }
  }

 private:
  void StopThreads() {
    traffic_thread_.reset();
    control_thread_.reset();
    traffic_.reset();
    control_.reset();
  }

  EntryOptions options_;
  SchedulerFactory scheduler_;
  Metrics* metrics_;
  Logger log_{"entry"};
  std::unique_ptr<Mailbox<ControlMessage>> to_control_;
  std::unique_ptr<Mailbox<TrafficMessage>> to_traffic_;
  std::unique_ptr<TrafficLoop> traffic_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<LoopThread> traffic_thread_;
  std::unique_ptr<LoopThread> control_thread_;
};

}  // namespace

std::unique_ptr<EntryPart> EntryPart::Make(const EntryOptions& options,
                                           SchedulerFactory scheduler,
                                           Metrics* metrics) {
  return std::make_unique<TwoThreadEntry>(options, std::move(scheduler),
                                          metrics);
}

}  // namespace hornbeamcleat
