#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <limits>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "hornbeamcleat/base/hash.h"
#include "src/base/socket_address.h"
#include "src/net/file_descriptor.h"
#include "src/relay/peer_link.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

/// Messages to a VM that no sound peer sends.
class OddPeerMessageTest : public RelayFixture {
 protected:
  OddPeerMessageTest() {
    RelayOptions options = Options();
    options.peer_address = FreeUdpAddress();
    relay_ = MakeRelay(options);
    ServingConfig config = Config();
    config.workspaces[0].rate_per_second = 1'000;
    config.workspaces[0].burst = 1'000;
    Configure(config);
    relay_->SetMembers(
        {relay_->SelfRecord(), {peer_.ToString(), "127.0.0.1:9", "d"}});
    link_ = PeerLink::Open(loop_.get(), clock_.get(), peer_,
                           [](const PeerState&) {});
  }

  PeerState State(std::uint32_t sequence) const {
    PeerState state;
    state.incarnation = 7;
    state.sequence = sequence;
    state.link = peer_.ToString();
    state.is_ready = true;
    state.uses = {{Hash32("t0"), 1, 100, 0}};
    state.queues = {{Hash32("s"), {{0, 0, 5}}}};
    state.has_all_quotas = true;
    state.quotas = {{Hash32("w"), 5, 10}};
    state.details = PeerDetails{"127.0.0.1:9", "d", {{Hash32("t0")}}, {}};
    state.losses = LossReport();
    state.notices = {{{Hash64("other"), 1}, true, 1'000}};
    state.reads =
        SharedReadsMessage{1, true, ClockEcho{7, 1}, {{0, 1, 9, 5, 3}}};
    return state;
  }

  void Send(const PeerState& state) {
    link_->Send(state, {relay_->SelfRecord().link});
    RunFor(std::chrono::milliseconds(5));
  }

  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    RunUntil([&] { return clock_->Now() >= end; });
  }

  void ExpectServing() {
    ScriptedTarget target(loop_.get(), [](const ReceivedRequest& request) {
      request.stream->Write(
          SignedResponse(request.Header("Request-Id"), "answer"));
    });
    SetTargets({&target});
    relay_->OnConfigConfirmed(clock_->SuspendAwareNow());
    const std::unique_ptr<TestCaller> caller = SendRequest(Request("unsafe"));
    ASSERT_NE(caller->Response(), nullptr);
    EXPECT_EQ(caller->Response()->Head().status, 200);
  }

  const Address peer_ = FreeUdpAddress();
  std::unique_ptr<PeerLink> link_;
};

TEST_F(OddPeerMessageTest, NumbersThatAreNoneDoNotStopServing) {
  const double numbers[] = {std::numeric_limits<double>::quiet_NaN(),
                            std::numeric_limits<double>::infinity(),
                            -std::numeric_limits<double>::infinity(), 1e300,
                            -1e300};
  std::uint32_t sequence = 0;
  for (const double number : numbers) {
    PeerState state = State(++sequence);
    state.quotas = {{Hash32("w"), number, static_cast<float>(number)}};
    Send(state);
    ExpectServing();
  }
  // Of another start of the peer.
  PeerState state = State(1);
  state.incarnation = 8;
  state.uses = {{Hash32("t0"), 4'294'967'295U, 4'294'967'295U, 4'294'967'295U}};
  state.notices = {{{Hash64("t0"), std::numeric_limits<std::int64_t>::min()},
                    false,
                    4'294'967'295U}};
  Send(state);
  state.sequence = 2;
  state.uses.clear();
  Send(state);
  ExpectServing();
}

TEST_F(OddPeerMessageTest, DamagedMessagesDoNotStopServing) {
  const Address copy_address = FreeUdpAddress();
  const FileDescriptor copy(socket(AF_INET, SOCK_DGRAM, 0));
  const sockaddr_in at = ToSocketAddress(copy_address);
  ASSERT_EQ(
      bind(copy.Get(), reinterpret_cast<const sockaddr*>(&at), sizeof(at)), 0);
  link_->Send(State(1), {copy_address.ToString()});
  std::string sound(2'000, '\0');
  const ssize_t n = recv(copy.Get(), sound.data(), sound.size(), 0);
  ASSERT_GT(n, 0);
  sound.resize(static_cast<std::size_t>(n));
  const sockaddr_in to =
      ToSocketAddress(Address::Parse(relay_->SelfRecord().link));
  std::mt19937 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = sound;
    for (std::uint32_t changes = 1 + random() % 4; changes > 0; --changes) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) {
      damaged.resize(random() % damaged.size());
    }
    sendto(copy.Get(), damaged.data(), damaged.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    if (i % 50 == 0) {
      loop_->RunOnce(Duration(0));
    }
  }
  // Longer than peers that have gone silent are counted.
  RunFor(std::chrono::seconds(2));
  ExpectServing();
}

// Nor do odd queries to the directory.
TEST_F(OddPeerMessageTest, OddDirectoryQueriesAreAnswered) {
  for (const std::string& query :
       {std::string("name=h&zone="), std::string("zone=%00&name=&&&=&="),
        "name=" + std::string(8'000, 'x'), std::string("?")}) {
    const std::optional<DirectoryQuery> parsed =
        codec_->ParseDirectoryQuery("/-/resolve?" + query);
    EXPECT_TRUE(parsed.has_value()) << query;
  }
  EXPECT_FALSE(codec_->ParseDirectoryQuery("/-/resolv").has_value());
}

}  // namespace
}  // namespace hornbeamcleat
