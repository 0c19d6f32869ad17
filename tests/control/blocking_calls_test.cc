#include "src/control/blocking_calls.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "hornbeamcleat/base/error.h"
#include "tests/net/socket_peer.h"

namespace hornbeamcleat {
namespace {

/// More than sockets on loopback hold.
constexpr std::size_t kMaxTestBytes = std::size_t{32} << 20;
constexpr std::chrono::seconds kMaxCallTime(4);

/// Targets that answer orders and queries.
class BlockingCallsTest : public testing::Test {
 protected:
  static TargetQuery Query(const SocketServer& server) {
    TargetQuery query;
    query.address = server.Listening().ToString();
    query.model = "m";
    query.version = "v1";
    return query;
  }
};

TEST_F(BlockingCallsTest, QueryOfRegularTargetTellsState) {
  const SocketServer server([](SocketPeer& peer) {
    peer.ReadUntil("\r\n\r\n");
    const std::string body =
        R"({"loaded":[{"model":"m","version":"v1"}],"loading":[]})";
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  });
  EXPECT_EQ(QueryLoadState(Query(server)), LoadState::kLoaded);
}

TEST_F(BlockingCallsTest, CommandIsPostedAndRefusalIsAnError) {
  std::string request;
  std::string status = "200 OK";
  const SocketServer server([&](SocketPeer& peer) {
    request = peer.ReadUntil("}");
    peer.Send("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
  });
  AddressedLoadCommand command;
  command.address = server.Listening().ToString();
  command.command.model = "m";
  command.command.version = "v1";
  command.command.fencing = 7;
  command.command.load = true;
  PostLoadCommand(command);
  EXPECT_EQ(request.substr(0, request.find("\r\n")),
            "POST /admin/load HTTP/1.1");
  EXPECT_NE(request.find(R"("fencing")"), std::string::npos);
  status = "409 Conflict";
  EXPECT_THROW(PostLoadCommand(command), Error);
}

TEST_F(BlockingCallsTest, QueryOfTargetThatSendsWithoutEndFailsInTime) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& begin : {head, head + "\r\n", chunked}) {
    for (const bool drips : {false, true}) {
      std::atomic<std::size_t> taken{0};
      const SocketServer server([&](SocketPeer& peer) {
        peer.ReadUntil("\r\n\r\n");
        peer.Send(begin);
        std::string part =
            begin == chunked ? "8\r\ngarbage\n\r\n" : "A: garbage\r\n";
        while (!drips && part.size() < 16'384) {
          part += part;
        }
        const std::chrono::steady_clock::time_point start =
            std::chrono::steady_clock::now();
        while (taken < kMaxTestBytes && peer.TrySend(part) &&
               std::chrono::steady_clock::now() - start < 2 * kMaxCallTime) {
          taken += part.size();
          if (drips) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
          }
        }
      });
      const std::chrono::steady_clock::time_point start =
          std::chrono::steady_clock::now();
      EXPECT_THROW(QueryLoadState(Query(server)), Error) << begin << drips;
      EXPECT_LT(std::chrono::steady_clock::now() - start, kMaxCallTime)
          << begin << drips;
      EXPECT_LT(taken, kMaxTestBytes) << begin << drips;
    }
  }
}

}  // namespace
}  // namespace hornbeamcleat
