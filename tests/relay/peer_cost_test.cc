#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/hash.h"
#include "src/relay/peer_link.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

/// Messages that the relay reads together.
constexpr int kMessagesPerBurst = 20;
constexpr int kBursts = 400;
constexpr int kFailureDomains = 5;
constexpr Duration kMaxReadInterval = std::chrono::milliseconds(5);
/// Processor time of a VM of 295 relative to one of 30, for the same requests.
constexpr double kMaxCostRatio = 1.5;

/// One relay of a deployment, which takes the messages of all its peers.
struct MeasuredRelay {
  int vms = 0;
  std::uint16_t port = 0;
  std::unique_ptr<Metrics> metrics = Metrics::Make();
  std::unique_ptr<Relay> relay;
  std::vector<std::uint32_t> target_hashes;
  std::vector<double> burst_seconds;

  std::string LinkOf(int i) const {
    return i == 0 ? fmt::format("127.0.0.1:{}", port)
                  : fmt::format("127.0.1.1:{}", 20'000 + i);
  }

  int LocalPeers() const { return vms / kFailureDomains - 1; }

  double MedianSecondsPerMessage() const {
    std::vector<double> sorted = burst_seconds;
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 2] / kMessagesPerBurst;
  }
};

class PeerCostTest : public RelayFixture {
 protected:
  static double ThreadSeconds() {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
  }

  MeasuredRelay StartRelay(int vms, int targets, std::uint16_t port) {
    MeasuredRelay measured;
    measured.vms = vms;
    measured.port = port;
    RelayOptions options = Options();
    options.peer_address = {"127.0.0.1", port};
    measured.relay =
        Relay::Make(loop_.get(), clock_.get(), codec_.get(),
                    measured.metrics.get(), options,
                    {[](const VmRecord&) {}, [](const ScalePlan&) {},
                     [](const MoveRecord&) {}, [](const PropertyLoss&) {},
                     [](RequestProperty) {}});
    std::vector<VmRecord> members;
    members.reserve(static_cast<std::size_t>(vms));
    for (int i = 0; i < vms; ++i) {
      const int domain = i % kFailureDomains;
      members.push_back({measured.LinkOf(i),
                         fmt::format("127.0.1.1:{}", 10'000 + i),
                         domain == 0 ? Options().failure_domain
                                     : fmt::format("other{}", domain)});
    }
    measured.relay->SetMembers(members);
    std::vector<ServingTarget> specs;
    for (int i = 0; i < targets; ++i) {
      ServingTarget spec;
      spec.id = fmt::format("i-{}", i);
      spec.service = "s";
      spec.slots = kTargetSlots;
      measured.target_hashes.push_back(Hash32(spec.id));
      specs.push_back(spec);
    }
    measured.relay->SetTargets(specs);
    return measured;
  }

  PeerState Message(const MeasuredRelay& measured, int peer) {
    PeerState state;
    state.incarnation = 1;
    state.sequence = ++sequence_;
    state.link = measured.LinkOf(peer);
    state.is_ready = true;
    for (std::size_t use = 0; use < 8; ++use) {
      const std::size_t target =
          (sequence_ + use) % measured.target_hashes.size();
      state.uses.push_back({measured.target_hashes[target], 1, 320, 0});
    }
    return state;
  }

  // Measures the processor time to send, receive and apply messages of VMs in
  // this failure domain.
  void RunBurst(MeasuredRelay* measured) {
    const double start = ThreadSeconds();
    for (int i = 0; i < kMessagesPerBurst; ++i) {
      const int peer = 1 + next_peer_++ % measured->LocalPeers();
      sender_->Send(Message(*measured, kFailureDomains * peer),
                    {measured->LinkOf(0)});
    }
    loop_->RunOnce(kMaxReadInterval);
    measured->burst_seconds.push_back(ThreadSeconds() - start);
  }

  bool HearsAllLocalPeers(const MeasuredRelay& measured) {
    const std::string heard =
        fmt::format("peers_heard{{kind=\"vm\"}} {}", measured.LocalPeers());
    return RunUntil([&] {
      return measured.metrics->Expose().find(heard) != std::string::npos;
    });
  }

  std::unique_ptr<PeerLink> sender_ = PeerLink::Open(
      loop_.get(), clock_.get(), {"127.0.0.1", 0}, [](const PeerState&) {});
  std::uint32_t sequence_ = 0;
  int next_peer_ = 0;
};

// Each message counted the VMs of the failure domain anew, so that the cost of
// all messages grew with the cube of the number of VMs. The two sizes take
// turns, since the speed of a core varies with what runs on its sibling.
TEST_F(PeerCostTest, MessageOfPeerIn295VmsCostsNoMoreThanOneAndHalfOfIn30) {
  MeasuredRelay small = StartRelay(30, 30, 18'742);
  MeasuredRelay large = StartRelay(295, 256, 18'744);
  for (int i = 0; i < kBursts; ++i) {
    RunBurst(&small);
    RunBurst(&large);
  }
  const double small_seconds = small.MedianSecondsPerMessage();
  const double large_seconds = large.MedianSecondsPerMessage();
  EXPECT_LE(large_seconds, small_seconds * kMaxCostRatio)
      << fmt::format("{:.2f} us and {:.2f} us a message", small_seconds * 1e6,
                     large_seconds * 1e6);
  EXPECT_TRUE(HearsAllLocalPeers(small)) << "messages were lost";
  EXPECT_TRUE(HearsAllLocalPeers(large)) << "messages were lost";
}

}  // namespace
}  // namespace hornbeamcleat
