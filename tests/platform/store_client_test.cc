#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "hornbeamcleat/base/clock.h"
#include "src/base/poll_loop.h"
#include "tests/platform/fake_store.h"

namespace hornbeamcleat::platform {
namespace {

using std::chrono::milliseconds;

class StoreClientTest : public testing::Test {
 protected:
  void RunLoop(PollLoop* loop, int turns) {
    for (int i = 0; i < turns; ++i) {
      loop->RunOnce(milliseconds(1));
    }
  }

  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<PollLoop> store_loop_ = PollLoop::Make(clock_.get());
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  FakeStore store_{store_loop_.get(), clock_.get()};
  StoreClient client_{loop_.get(), clock_.get(), store_.Bound()};
};

// Guards against a crash when a response and its timeout are due in the same
// turn of the loop, as after the process was suspended while receiving.
TEST_F(StoreClientTest, ResponseThatRacesItsTimeoutIsDroppedOnce) {
  store_.Put("keyed.op", "config", std::string(200'000, 'x'));
  std::vector<int> statuses;
  client_.Read("keyed.op", 0, milliseconds(0), [&](const StoreReply& reply) {
    statuses.push_back(reply.status);
  });
  RunLoop(loop_.get(), 5);
  RunLoop(store_loop_.get(), 20);
  loop_->RunOnce(milliseconds(1));
  std::this_thread::sleep_for(milliseconds(1'000));
  RunLoop(loop_.get(), 50);
  EXPECT_EQ(statuses, std::vector<int>{0});
}

TEST_F(StoreClientTest, CallToSilentStoreHasNoStatus) {
  store_.SetFault(FakeStore::Fault::kSilent);
  std::vector<int> statuses;
  client_.Append(
      "keyed.vms", EncodeKeyedRecord({"k", "v"}),
      [&](const StoreReply& reply) { statuses.push_back(reply.status); });
  const Time end = clock_->Now() + milliseconds(3'000);
  while (statuses.empty() && clock_->Now() < end) {
    RunLoop(loop_.get(), 1);
    RunLoop(store_loop_.get(), 1);
  }
  EXPECT_EQ(statuses, std::vector<int>{0});
}

}  // namespace
}  // namespace hornbeamcleat::platform
