#include "src/relay/peer_reporter.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/hash.h"
#include "src/relay/peer_link.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr int kVms = 24;
constexpr Duration kObserved = std::chrono::milliseconds(2'100);
constexpr Duration kCheckPeriod = std::chrono::milliseconds(250);

/// VMs of one failure domain that start together, and a peer in another domain
/// that observes their messages.
class PeerReporterTest : public RelayFixture {
 protected:
  static Address LinkOf(int vm) {
    return {"127.0.0.1", static_cast<std::uint16_t>(18'760 + vm)};
  }

  PeerReporterTest() {
    std::vector<VmRecord> members = {
        {kObserver.ToString(), "127.0.0.1:1", "far"}};
    for (int vm = 0; vm < kVms; ++vm) {
      RelayOptions options = Options();
      options.peer_address = LinkOf(vm);
      relays_.push_back(Relay::Make(
          loop_.get(), clock_.get(), codec_.get(), metrics_.get(), options,
          {[](const VmRecord&) {}, [](const ScalePlan&) {},
           [](const MoveRecord&) {}, [](const PropertyLoss&) {},
           [](RequestProperty) {}}));
      members.push_back(relays_.back()->SelfRecord());
    }
    for (const std::unique_ptr<Relay>& relay : relays_) {
      relay->SetMembers(members);
    }
    started_at_ = clock_->Now();
    received_.clear();
  }

  struct Received {
    Time at;
    bool has_details = false;
    bool has_versions = false;
  };

  const Address kObserver = {"127.0.0.1", 18'759};
  std::vector<std::unique_ptr<Relay>> relays_;
  std::map<std::string, std::vector<Received>> received_;  ///< by sender
  std::unique_ptr<PeerLink> observer_ = PeerLink::Open(
      loop_.get(), clock_.get(), kObserver, [this](const PeerState& state) {
        if (state.has_load) {
          received_[state.link].push_back(
              {clock_->Now(), state.details.has_value(),
               state.details.has_value() && !state.details->versions.empty()});
        }
      });
  Time started_at_;
};

// The heartbeats of hundreds of VMs in one instant filled the links of the VMs
// of other domains for a third of a second.
TEST_F(PeerReporterTest, HeartbeatsOfVmsStartedTogetherAreSpread) {
  ASSERT_TRUE(
      RunUntil([this] { return clock_->Now() - started_at_ > kObserved; }));
  ASSERT_EQ(received_.size(), static_cast<std::size_t>(kVms));
  std::map<std::int64_t, int> by_check;
  int details = 0;
  for (const auto& [link, messages] : received_) {
    // The first message is the answer to the list of members.
    ASSERT_GE(messages.size(), 3U) << link;
    ASSERT_LE(messages.size(), 4U) << link;
    // VMs start shortly before `started_at_`, and may be late at any check.
    ++by_check[(messages[1].at - started_at_ + kCheckPeriod / 2) /
               kCheckPeriod];
    details += static_cast<int>(
        std::count_if(messages.begin() + 1, messages.end(),
                      [](const Received& item) { return item.has_details; }));
  }
  for (const auto& [check, count] : by_check) {
    EXPECT_LE(count, kVms / 2) << "at check " << check;
  }
  EXPECT_GE(by_check.size(), 3U);
  EXPECT_GE(details, kVms);
  EXPECT_LE(details, kVms + kVms / 2);
}

// A bad version must be withdrawn within five seconds, and details are due
// only every two.
TEST_F(PeerReporterTest, AnswersOfVersionsInMoveAreReportedEachSecond) {
  relay_ = std::move(relays_[0]);
  Configure(Config());
  ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
    request.stream->Write(SignedResponse("r1", "answer"));
  });
  ServingTarget spec = Spec("t", target);
  spec.software_version = "v1";
  relay_->SetTargets({spec});
  relay_->SetMoves({{"s", "v2", std::chrono::seconds(60)}},
                   {{"s", "v2", MoveOutcome::kInProgress, clock_->WallNow()}});
  SendRequest(Request("safe"));
  received_.clear();
  const Time start = clock_->Now();
  ASSERT_TRUE(RunUntil([&] {
    return clock_->Now() - start > std::chrono::milliseconds(3'200);
  }));
  const std::vector<Received>& messages = received_[LinkOf(0).ToString()];
  EXPECT_GE(
      std::count_if(messages.begin(), messages.end(),
                    [](const Received& item) { return item.has_versions; }),
      3);
}

}  // namespace
}  // namespace hornbeamcleat
