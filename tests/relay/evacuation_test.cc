#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/log.h"
#include "src/base/socket_address.h"
#include "src/net/file_descriptor.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;

/// Longer than a request takes that is not held.
constexpr Duration kSettleTime = milliseconds(150);

/// Two targets in failure domain "d", which operators evacuate, and one in "e".
/// Targets hold each request until the test answers it.
class EvacuationTest : public RelayFixture {
 protected:
  EvacuationTest() {
    relay_->SetTargets({first_spec_, second_spec_, other_spec_});
  }

  ~EvacuationTest() override { ResetLogSink(); }

  static void ResetLogSink() {
    SetLogSink([](std::string_view line) {
      std::fwrite(line.data(), 1, line.size(), stderr);
    });
  }

  static ServingTarget InDomain(ServingTarget spec, const std::string& domain) {
    spec.failure_domain = domain;
    return spec;
  }

  void RunFor(Duration time) {
    const Time end = clock_->Now() + time;
    RunUntil([&] { return clock_->Now() >= end; });
  }

  std::unique_ptr<TestCaller> Start(const std::string& kind) {
    std::unique_ptr<TestCaller> caller =
        std::make_unique<TestCaller>(loop_.get(), relay_->CallerAddress());
    caller->Send(Request(kind, fmt::format("n{}", next_id_++)));
    return caller;
  }

  /// Starts a request and waits until one of the targets of "d" has received
  /// it.
  std::unique_ptr<TestCaller> StartInEvacuatedDomain(const std::string& kind) {
    relay_->SetEvacuations({"e"});
    const int before = RequestsInDomain();
    std::unique_ptr<TestCaller> caller = Start(kind);
    EXPECT_TRUE(RunUntil([&] { return RequestsInDomain() > before; }));
    relay_->SetEvacuations({});
    return caller;
  }

  int RequestsInDomain() const {
    return first_.RequestCount() + second_.RequestCount();
  }

  ScriptedTarget& BusyTargetOfDomain() {
    return first_.RequestCount() > 0 ? first_ : second_;
  }

  static void Answer(const ReceivedRequest& request) {
    request.stream->Write(
        SignedResponse(request.Header("Request-Id"), "id: 1\ndata: a\n\n"));
  }

  static int Status(const TestCaller& caller) {
    const std::unique_ptr<HttpParser> answer = caller.Response();
    return answer == nullptr ? 0 : answer->Head().status;
  }

  bool IsAnswered(const TestCaller& caller) {
    return RunUntil([&] { return caller.Response() != nullptr; });
  }

  int RetriesFor(const std::string& reason) {
    const std::string line =
        fmt::format("retries_total{{reason=\"{}\"}} ", reason);
    const std::string page = metrics_->Expose();
    const std::size_t at = page.find(line);
    return at == std::string::npos ? 0
                                   : std::stoi(page.substr(at + line.size()));
  }

  ScriptedTarget first_{loop_.get(), [](const ReceivedRequest&) {}};
  ScriptedTarget second_{loop_.get(), [](const ReceivedRequest&) {}};
  ScriptedTarget other_{loop_.get(), [](const ReceivedRequest&) {}};
  ServingTarget first_spec_ = Spec("first", first_);
  ServingTarget second_spec_ = Spec("second", second_);
  ServingTarget other_spec_ = InDomain(Spec("other", other_), "e");
  int next_id_ = 0;
};

TEST_F(EvacuationTest, NewRequestsOfAllKindsGoToOtherDomains) {
  other_.SetScript(Answer);
  relay_->SetEvacuations({"d"});
  for (const char* kind : {"safe", "unsafe", "stream", "resume"}) {
    for (int i = 0; i < 5; ++i) {
      const std::unique_ptr<TestCaller> caller = Start(kind);
      ASSERT_TRUE(IsAnswered(*caller));
      EXPECT_EQ(Status(*caller), 200);
    }
  }
  EXPECT_EQ(RequestsInDomain(), 0);
  EXPECT_NE(metrics_->Expose().find("failure_domains{kind=\"evacuated\"} 1"),
            std::string::npos);
}

TEST_F(EvacuationTest, RequestsThatRunThereFinishUndisturbed) {
  for (const char* kind : {"safe", "unsafe", "stream", "resume"}) {
    const std::unique_ptr<TestCaller> caller = StartInEvacuatedDomain(kind);
    relay_->SetEvacuations({"d"});
    RunFor(kSettleTime);
    EXPECT_FALSE(caller->Ended());
    for (const ScriptedTarget* target : {&first_, &second_}) {
      for (const ReceivedRequest& request : target->ReceivedRequests()) {
        if (request.Header("Request-Id") == fmt::format("n{}", next_id_ - 1)) {
          Answer(request);
        }
      }
    }
    ASSERT_TRUE(IsAnswered(*caller)) << kind;
    EXPECT_EQ(Status(*caller), 200) << kind;
  }
  EXPECT_EQ(RequestsInDomain(), 4);
  EXPECT_EQ(other_.RequestCount(), 0);
}

// Slots that become free in an evacuated domain must not serve the queue.
TEST_F(EvacuationTest, WaitingRequestsDoNotFollowThere) {
  std::vector<std::unique_ptr<TestCaller>> running;
  running.reserve(3 * kTargetSlots);
  for (int i = 0; i < 3 * kTargetSlots; ++i) {
    running.push_back(Start("unsafe"));
  }
  ASSERT_TRUE(RunUntil([&] {
    return RequestsInDomain() + other_.RequestCount() == 3 * kTargetSlots;
  }));
  const int before = RequestsInDomain();
  const std::unique_ptr<TestCaller> waiting = Start("unsafe");
  RunFor(milliseconds(30));
  relay_->SetEvacuations({"d"});
  for (const ScriptedTarget* target : {&first_, &second_}) {
    for (const ReceivedRequest& request : target->ReceivedRequests()) {
      Answer(request);
    }
  }
  RunFor(kSettleTime);
  EXPECT_EQ(Status(*waiting), 0);
  other_.SetScript(Answer);
  Answer(other_.ReceivedRequests().front());
  ASSERT_TRUE(IsAnswered(*waiting));
  EXPECT_EQ(Status(*waiting), 200);
  EXPECT_EQ(RequestsInDomain(), before);
}

// The evacuation arrives between the placement and the first byte.
TEST_F(EvacuationTest, RequestThatConnectsIsNotSentThere) {
  other_.SetScript(Answer);
  for (const char* kind : {"safe", "unsafe", "stream", "resume"}) {
    relay_->SetEvacuations({"e"});
    bool is_evacuated = false;
    SetLogSink([&](std::string_view line) {
      if (!is_evacuated &&
          line.find("event=placed") != std::string_view::npos) {
        is_evacuated = true;
        loop_->Post([this] { relay_->SetEvacuations({"d"}); });
      }
    });
    const int retries = RetriesFor("target_evacuated");
    const std::unique_ptr<TestCaller> caller = Start(kind);
    ASSERT_TRUE(IsAnswered(*caller));
    ResetLogSink();
    EXPECT_EQ(Status(*caller), 200) << kind;
    EXPECT_EQ(RetriesFor("target_evacuated"), retries + 1) << kind;
  }
  EXPECT_EQ(RequestsInDomain(), 0);
}

TEST_F(EvacuationTest, RetryGoesToOtherDomain) {
  const std::unique_ptr<TestCaller> caller = StartInEvacuatedDomain("safe");
  relay_->SetEvacuations({"d"});
  other_.SetScript(Answer);
  BusyTargetOfDomain().ReceivedRequests()[0].stream->Abort();
  ASSERT_TRUE(IsAnswered(*caller));
  EXPECT_EQ(Status(*caller), 200);
  EXPECT_EQ(RequestsInDomain(), 1);
  EXPECT_EQ(other_.RequestCount(), 1);
}

TEST_F(EvacuationTest, BrokenStreamResumesInOtherDomain) {
  const std::unique_ptr<TestCaller> caller = StartInEvacuatedDomain("resume");
  const ReceivedRequest request = BusyTargetOfDomain().ReceivedRequests()[0];
  request.stream->Write(fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nUpstream-Signature: s\r\n"
      "Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n"
      "id: 1\ndata: a\n\n",
      request.Header("Request-Id")));
  ASSERT_TRUE(RunUntil(
      [&] { return caller->Received().find("data: a") != std::string::npos; }));
  relay_->SetEvacuations({"d"});
  RunFor(kSettleTime);
  EXPECT_FALSE(caller->Ended());
  request.stream->Abort();
  ASSERT_TRUE(RunUntil([&] { return other_.RequestCount() == 1; }));
  EXPECT_EQ(other_.ReceivedRequests()[0].Header("Last-Event-Id"), "1");
  EXPECT_EQ(RequestsInDomain(), 1);
}

// Without a target to resume at, the caller sees an incomplete answer at once.
TEST_F(EvacuationTest, BrokenStreamEndsIfAllDomainsAreEvacuated) {
  const std::unique_ptr<TestCaller> caller = StartInEvacuatedDomain("resume");
  const ReceivedRequest request = BusyTargetOfDomain().ReceivedRequests()[0];
  request.stream->Write(fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nUpstream-Signature: s\r\n"
      "Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n"
      "id: 1\ndata: a\n\n",
      request.Header("Request-Id")));
  ASSERT_TRUE(RunUntil(
      [&] { return caller->Received().find("data: a") != std::string::npos; }));
  relay_->SetEvacuations({"d", "e"});
  request.stream->Abort();
  const Time cut = clock_->Now();
  ASSERT_TRUE(RunUntil([&] { return caller->Ended(); }));
  EXPECT_LT(clock_->Now() - cut, milliseconds(500));
  EXPECT_EQ(RequestsInDomain(), 1);
  EXPECT_EQ(other_.RequestCount(), 0);
}

TEST_F(EvacuationTest, AllDomainsEvacuatedRefusesWithTimeToRetry) {
  const std::unique_ptr<TestCaller> running = StartInEvacuatedDomain("safe");
  relay_->SetEvacuations({"d", "e"});
  for (const char* kind : {"safe", "unsafe", "stream", "resume"}) {
    const Time start = clock_->Now();
    const std::unique_ptr<TestCaller> caller = Start(kind);
    ASSERT_TRUE(IsAnswered(*caller)) << kind;
    EXPECT_LT(clock_->Now() - start, milliseconds(500)) << kind;
    EXPECT_EQ(Status(*caller), 503) << kind;
    const std::unique_ptr<HttpParser> answer = caller->Response();
    const std::string* after =
        FindHeader(answer->Head().headers, "Retry-After");
    ASSERT_NE(after, nullptr) << kind;
    EXPECT_GE(std::stod(*after), 3);
    EXPECT_LE(std::stod(*after), 5);
  }
  EXPECT_EQ(RequestsInDomain(), 1);
  EXPECT_EQ(other_.RequestCount(), 0);
}

TEST_F(EvacuationTest, EndOfEvacuationBringsTargetsBack) {
  relay_->SetEvacuations({"d", "e"});
  ASSERT_EQ(Status(*SendRequest(Request("safe", "refused"))), 503);
  first_.SetScript(Answer);
  second_.SetScript(Answer);
  relay_->SetEvacuations({"e"});
  const std::unique_ptr<TestCaller> caller = Start("safe");
  ASSERT_TRUE(IsAnswered(*caller));
  EXPECT_EQ(Status(*caller), 200);
  EXPECT_EQ(RequestsInDomain(), 1);
}

// The store delivers its topics in any order.
TEST_F(EvacuationTest, EvacuationBeforeTargetsAfterRestartHolds) {
  RestartRelay();
  relay_->SetEvacuations({"d"});
  relay_->SetTargets({first_spec_, second_spec_, other_spec_});
  other_.SetScript(Answer);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Status(*SendRequest(Request("safe", fmt::format("r{}", i)))),
              200);
  }
  EXPECT_EQ(RequestsInDomain(), 0);
}

// A VM that starts while the store is back from a copy without the record reads
// nothing of the evacuation; its peers know it.
TEST_F(EvacuationTest, StartedVmLearnsEvacuationFromPeers) {
  RelayOptions options = Options();
  options.peer_address = FreeUdpAddress();
  std::unique_ptr<Relay> peer = MakeRelay(options);
  peer->SetEvacuations({"d"});
  options.peer_address = FreeUdpAddress();
  relay_ = MakeRelay(options);
  Configure(Config());
  const std::vector<VmRecord> members = {peer->SelfRecord(),
                                         relay_->SelfRecord()};
  peer->SetMembers(members);
  relay_->SetMembers(members);
  relay_->SetTargets({first_spec_, second_spec_, other_spec_});
  other_.SetScript(Answer);
  RunFor(milliseconds(600));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Status(*SendRequest(Request("safe", fmt::format("r{}", i)))),
              200);
  }
  EXPECT_EQ(RequestsInDomain(), 0);
  peer->SetEvacuations({});
  RunFor(milliseconds(600));
  // More than the other domain has slots for.
  other_.SetScript([](const ReceivedRequest&) {});
  std::vector<std::unique_ptr<TestCaller>> callers;
  callers.reserve(2 * kTargetSlots);
  for (int i = 0; i < 2 * kTargetSlots; ++i) {
    callers.push_back(Start("safe"));
  }
  EXPECT_TRUE(RunUntil([&] { return RequestsInDomain() >= kTargetSlots; }));
}

/// Requests of a route and a workspace that are restricted to regions.
class RestrictedRequestsTest : public EvacuationTest {
 protected:
  void Restrict(const AllowedRegions& of_routes,
                const AllowedRegions& of_workspace) {
    RelayOptions options = Options();
    options.regions = {{"d", "eu"}, {"e", "us"}};
    relay_.reset();
    relay_ = MakeRelay(options);
    ServingConfig config = Config();
    for (ServingRoute& route : config.routes) {
      route.allowed_regions = of_routes;
    }
    config.workspaces[0].allowed_regions = of_workspace;
    Configure(config);
    relay_->SetTargets({first_spec_, second_spec_, other_spec_});
    for (ScriptedTarget* target : {&first_, &second_, &other_}) {
      target->SetScript(Answer);
    }
  }

  static AllowedRegions Regions(const std::vector<std::string>& names) {
    return names;
  }

  static Address FreeTcpAddress() {
    const FileDescriptor fd(socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in any = ToSocketAddress({"127.0.0.1", 0});
    EXPECT_EQ(
        bind(fd.Get(), reinterpret_cast<const sockaddr*>(&any), sizeof(any)),
        0);
    return BoundAddress(fd.Get());
  }

  /// Makes a relay that the directory lists by its own address. Another process
  /// may take a free port first, so that several are tried.
  std::unique_ptr<Relay> MakeListedRelay(RelayOptions* options) {
    constexpr int kMaxTries = 10;
    for (int i = 1;; ++i) {
      options->directory_address = FreeTcpAddress();
      options->peer_address = FreeUdpAddress();
      options->caller_address = FreeTcpAddress();
      try {
        return MakeRelay(*options);
      } catch (const Error&) {
        if (i == kMaxTries) {
          throw;
        }
      }
    }
  }
};

TEST_F(RestrictedRequestsTest, RequestsOfAllKindsStayInAllowedRegion) {
  Restrict(Regions({"us", "eu"}), Regions({"us"}));
  for (const char* kind : {"safe", "unsafe", "stream", "resume"}) {
    for (int i = 0; i < 5; ++i) {
      EXPECT_EQ(
          Status(*SendRequest(Request(kind, fmt::format("{}{}", kind, i)))),
          200);
    }
  }
  EXPECT_EQ(RequestsInDomain(), 0);
}

TEST_F(RestrictedRequestsTest, RequestWithoutAllowedRegionIsRefused) {
  Restrict(Regions({"eu"}), Regions({"us"}));
  for (const char* kind : {"safe", "unsafe", "stream", "resume"}) {
    EXPECT_EQ(Status(*SendRequest(Request(kind))), 503) << kind;
  }
  EXPECT_EQ(RequestsInDomain() + other_.RequestCount(), 0);
}

TEST_F(RestrictedRequestsTest, EvacuatedRegionIsRefusedToo) {
  Restrict(Regions({"us"}), std::nullopt);
  relay_->SetEvacuations({"e"});
  EXPECT_EQ(Status(*SendRequest(Request("safe"))), 503);
  EXPECT_EQ(RequestsInDomain() + other_.RequestCount(), 0);
}

TEST_F(RestrictedRequestsTest, DirectoryListsVmsOfCallersRegion) {
  RelayOptions options = Options();
  options.regions = {{"d", "eu"}, {"e", "us"}};
  relay_ = MakeListedRelay(&options);
  const std::string own = options.caller_address.ToString();
  Configure(Config());
  RelayOptions peer_options = options;
  peer_options.failure_domain = "e";
  const std::unique_ptr<Relay> peer = MakeListedRelay(&peer_options);
  const std::string other = peer_options.caller_address.ToString();
  peer->SetConfig(std::make_shared<const RouteTable>(Config()));
  peer->OnConfigConfirmed(clock_->SuspendAwareNow());
  const std::vector<VmRecord> members = {peer->SelfRecord(),
                                         relay_->SelfRecord()};
  peer->SetMembers(members);
  relay_->SetMembers(members);
  RunFor(milliseconds(600));
  const auto resolve = [&](const std::string& query) {
    TestCaller caller(loop_.get(), options.directory_address);
    caller.Send("GET /-/resolve?name=h" + query +
                " HTTP/1.1\r\nHost: d\r\n\r\n");
    EXPECT_TRUE(RunUntil([&] { return caller.Response() != nullptr; }));
    return caller.Received();
  };
  const auto lists = [](const std::string& answer, const std::string& address) {
    return answer.find('"' + address + '"') != std::string::npos;
  };
  EXPECT_TRUE(lists(resolve("&region=eu&zone=d"), own));
  EXPECT_FALSE(lists(resolve("&region=eu&zone=d"), other));
  EXPECT_TRUE(lists(resolve("&region=us"), other));
  EXPECT_FALSE(lists(resolve("&region=us"), own));
  EXPECT_TRUE(lists(resolve("&region=ap"), own));
  EXPECT_TRUE(lists(resolve("&region=ap"), other));
  EXPECT_TRUE(lists(resolve(""), other));
}

// Messages that wait in the socket while the process is stopped must not make a
// VM that has ended look alive.
TEST_F(RestrictedRequestsTest, VmThatEndedWhileProcessWasStoppedIsNotListed) {
  RelayOptions options = Options();
  relay_ = MakeListedRelay(&options);
  Configure(Config());
  RelayOptions peer_options = options;
  std::unique_ptr<Relay> peer = MakeListedRelay(&peer_options);
  const std::string other = peer_options.caller_address.ToString();
  const std::vector<VmRecord> members = {peer->SelfRecord(),
                                         relay_->SelfRecord()};
  relay_->SetMembers(members);
  peer->SetMembers(members);
  peer->SetConfig(std::make_shared<const RouteTable>(Config()));
  peer->OnConfigConfirmed(clock_->SuspendAwareNow());
  const auto is_listed = [&] {
    TestCaller caller(loop_.get(), options.directory_address);
    caller.Send("GET /-/resolve?name=h HTTP/1.1\r\nHost: d\r\n\r\n");
    EXPECT_TRUE(RunUntil([&] { return caller.Response() != nullptr; }));
    return caller.Received().find('"' + other + '"') != std::string::npos;
  };
  RunFor(milliseconds(600));
  ASSERT_TRUE(is_listed());
  // Its last message says that it is ready, and is not read for a while.
  peer->SetMembers(members);
  peer.reset();
  std::this_thread::sleep_for(milliseconds(1'500));
  EXPECT_FALSE(is_listed());
}

}  // namespace
}  // namespace hornbeamcleat
