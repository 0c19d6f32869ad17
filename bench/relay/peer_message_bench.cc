#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/hash.h"
#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "platform/wire_codec.h"
#include "src/base/poll_loop.h"
#include "src/relay/http_codec.h"
#include "src/relay/peer_link.h"
#include "src/relay/relay.h"

namespace hornbeamcleat {
namespace {

/// Targets on which each VM has requests in flight.
constexpr int kUsedTargets = 8;
constexpr int kSlots = 6;
constexpr int kWorkspaces = 8;

/// A relay on loopback and a sender of messages of all its peers.
class RelayWithPeers {
 public:
  RelayWithPeers(int vms, int domains, int targets)
      : local_peers_(vms / domains - 1) {
    SetLogSink([](std::string_view) {});
    RelayOptions options;
    options.name = "vm";
    options.failure_domain = "d0";
    const Address any = {"127.0.0.1", 0};
    options.caller_address = any;
    options.ready_address = any;
    options.directory_address = any;
    options.metrics_address = any;
    options.peer_address = {"127.0.0.1", kRelayPort};
    options.memory_bytes = std::size_t{64} << 20;
    options.max_connections = 100;
    options.admission.key_limit = std::chrono::seconds(5);
    options.admission.losses.limit = 2;
    options.admission.losses.refusal_time = std::chrono::seconds(30);
    relay_ = Relay::Make(loop_.get(), clock_.get(), codec_.get(),
                         metrics_.get(), options,
                         {[](const VmRecord&) {}, [](const ScalePlan&) {},
                          [](const MoveRecord&) {}, [](const PropertyLoss&) {},
                          [](RequestProperty) {}});
    std::vector<VmRecord> members;
    members.reserve(static_cast<std::size_t>(vms));
    for (int i = 0; i < vms; ++i) {
      members.push_back({LinkOf(i), fmt::format("127.0.1.1:{}", 10'000 + i),
                         fmt::format("d{}", i / (local_peers_ + 1))});
    }
    relay_->SetMembers(members);
    std::vector<ServingTarget> specs;
    for (int i = 0; i < targets; ++i) {
      ServingTarget spec;
      spec.id = fmt::format("i-{:010x}", i * 2'654'435'769U);
      spec.service = "service";
      spec.slots = kSlots;
      target_hashes_.push_back(Hash32(spec.id));
      specs.push_back(spec);
    }
    relay_->SetTargets(specs);
  }

  // One message of each VM of the failure domain.
  void Exchange() {
    for (int i = 1; i <= local_peers_; ++i) {
      PeerState state;
      state.incarnation = static_cast<std::uint64_t>(i);
      state.sequence = ++sequence_;
      state.link = LinkOf(i);
      state.is_ready = true;
      for (int use = 0; use < kUsedTargets; ++use) {
        const std::size_t target =
            (sequence_ * 31 + use * 17) % target_hashes_.size();
        state.uses.push_back({target_hashes_[target], 1, 320, 0});
      }
      for (std::uint32_t workspace = 0; workspace < kWorkspaces; ++workspace) {
        state.quotas.push_back({workspace, 100.0 * sequence_, 1'000});
      }
      sender_->Send(state, {LinkOf(0)});
    }
    loop_->RunOnce(std::chrono::milliseconds(5));
  }

  int LocalPeers() const { return local_peers_; }

 private:
  static constexpr std::uint16_t kRelayPort = 18'741;

  static std::string LinkOf(int i) {
    return i == 0 ? fmt::format("127.0.0.1:{}", kRelayPort)
                  : fmt::format("127.0.1.1:{}", 20'000 + i);
  }

  const int local_peers_;
  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  std::unique_ptr<Metrics> metrics_ = Metrics::Make();
  std::unique_ptr<HttpCodec> codec_ = platform::MakeWireCodec();
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<PeerLink> sender_ = PeerLink::Open(
      loop_.get(), clock_.get(), {"127.0.0.1", 0}, [](const PeerState&) {});
  std::vector<std::uint32_t> target_hashes_;
  std::uint32_t sequence_ = 0;
};

// Cost of one message of a peer, sending included, by the numbers of VMs in
// five failure domains and of targets.
void ReceivePeerMessage(benchmark::State& state) {
  RelayWithPeers relay(static_cast<int>(state.range(0)), 5,
                       static_cast<int>(state.range(1)));
  for (auto _ : state) {
    relay.Exchange();
  }
  state.SetItemsProcessed(state.iterations() * relay.LocalPeers());
}
BENCHMARK(ReceivePeerMessage)->Args({30, 30})->Args({60, 60})->Args({295, 256});

}  // namespace
}  // namespace hornbeamcleat
