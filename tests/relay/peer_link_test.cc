#include "src/relay/peer_link.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "src/base/poll_loop.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kReadInterval = std::chrono::milliseconds(20);
constexpr Duration kMaxTestTime = std::chrono::seconds(5);

class PeerLinkTest : public testing::Test {
 protected:
  void Send(std::uint32_t sequence) {
    PeerState state;
    state.sequence = sequence;
    state.link = "127.0.0.1:9";
    sender_->Send(state, {kAddress.ToString()});
  }

  bool RunUntil(const std::function<bool()>& done) {
    const Time end = clock_->Now() + kMaxTestTime;
    while (!done() && clock_->Now() < end) {
      ++turns_;
      loop_->RunOnce(std::chrono::milliseconds(50));
    }
    return done();
  }

  const Address kAddress = {"127.0.0.1", 18'743};
  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  std::vector<std::uint32_t> received_;
  std::unique_ptr<PeerLink> receiver_ = PeerLink::Open(
      loop_.get(), clock_.get(), kAddress,
      [this](const PeerState& state) { received_.push_back(state.sequence); });
  std::unique_ptr<PeerLink> sender_ = PeerLink::Open(
      loop_.get(), clock_.get(), {"127.0.0.1", 0}, [](const PeerState&) {});
  int turns_ = 0;
};

TEST_F(PeerLinkTest, MessagesWithinReadIntervalAreReadTogetherInOrder) {
  receiver_->SetReadInterval(kReadInterval);
  Send(0);
  ASSERT_TRUE(RunUntil([this] { return received_.size() == 1; }));
  const Time first = clock_->Now();
  for (std::uint32_t i = 1; i <= 30; ++i) {
    Send(i);
  }
  turns_ = 0;
  ASSERT_TRUE(RunUntil([this] { return received_.size() > 1; }));
  EXPECT_GE(clock_->Now() - first,
            kReadInterval - std::chrono::milliseconds(5));
  ASSERT_EQ(received_.size(), 31U);
  EXPECT_EQ(turns_, 1);
  for (std::uint32_t i = 0; i <= 30; ++i) {
    EXPECT_EQ(received_[i], i);
  }
}

TEST_F(PeerLinkTest, MessageAfterIdleTimeIsReadAtOnce) {
  receiver_->SetReadInterval(kReadInterval);
  Send(0);
  ASSERT_TRUE(RunUntil([this] { return received_.size() == 1; }));
  const Time idle_end = clock_->Now() + 3 * kReadInterval;
  RunUntil([&] { return clock_->Now() >= idle_end; });
  Send(1);
  loop_->RunOnce(std::chrono::milliseconds(0));
  EXPECT_EQ(received_.size(), 2U);
}

TEST_F(PeerLinkTest, MoreMessagesThanOneReadTakesAreAllRead) {
  receiver_->SetReadInterval(kReadInterval);
  for (std::uint32_t i = 0; i < 150; ++i) {
    Send(i);
  }
  EXPECT_TRUE(RunUntil([this] { return received_.size() == 150; }));
}

TEST_F(PeerLinkTest, MessagesWithoutReadIntervalAreReadAtOnce) {
  Send(0);
  loop_->RunOnce(std::chrono::milliseconds(50));
  Send(1);
  loop_->RunOnce(std::chrono::milliseconds(50));
  EXPECT_EQ(received_.size(), 2U);
}

}  // namespace
}  // namespace hornbeamcleat
