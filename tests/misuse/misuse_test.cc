// Callers that are not under control, against the process itself. Bounds are
// the limits of the settings: resident memory within memory_mb, descriptors
// within max_descriptors. After each crowd, with its connections still open,
// one ordinary request at each listener must be answered.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/misuse/caller_crowd.h"
#include "tests/misuse/daemon_world.h"

namespace hornbeamcleat {
namespace {

constexpr std::int64_t kKbPerMb = 1'024;
constexpr Place kAllPlaces[] = {Place::kRoute, Place::kNoRoute,
                                Place::kReadiness, Place::kDirectory,
                                Place::kMetrics};
/// Fields of a head that is within max_header_bytes.
constexpr int kManyFields = 4'000;
constexpr std::size_t kLegalBodyBytes = 1'000'000;

std::string Repeat(const std::string& text, std::size_t times) {
  std::string all;
  all.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

std::string Head(const std::string& method, const std::string& path,
                 const std::string& fields) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n{}\r\n",
                     method, path, fields);
}

// A request with a body of a stated length, of which the last `missing` bytes
// are not there.
std::string SizedRequest(const std::string& path, std::size_t size,
                         std::size_t missing, const std::string& fields = "") {
  return Head("POST", path,
              fmt::format("{}Content-Length: {}\r\n", fields, size)) +
         std::string(size - missing, 'b');
}

// A request with a body in chunks, without the last one.
std::string ChunkedRequest(const std::string& path, std::size_t chunk,
                           std::size_t chunks, const std::string& fields = "") {
  return Head("POST", path, fields + "Transfer-Encoding: chunked\r\n") +
         Repeat(fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'b')),
                chunks);
}

std::string ManyFields() { return Repeat("a:\r\n", kManyFields); }

class MisuseFixture : public testing::Test {
 protected:
  void Start(const DaemonWorld::Options& options) {
    options_ = options;
    world_ = std::make_unique<DaemonWorld>(options);
    ASSERT_TRUE(world_->AwaitReady());
    RecordProperty("rest_kb", static_cast<int>(world_->MemoryKb()));
  }

  void ExpectWithinLimits(int peak_descriptors) {
    ASSERT_TRUE(world_->IsAlive());
    const std::int64_t peak_kb = world_->PeakMemoryKb();
    RecordProperty("peak_kb", static_cast<int>(peak_kb));
    RecordProperty("peak_descriptors", peak_descriptors);
    EXPECT_GT(peak_kb, 0);
    EXPECT_LE(peak_kb, options_.memory_mb * kKbPerMb);
    EXPECT_LT(peak_descriptors, options_.max_descriptors);
  }

  // One ordinary request at each place, while the crowd's connections are open.
  void ExpectOrdinaryServed() {
    for (const Place place : kAllPlaces) {
      ASSERT_EQ(world_->AskOrdinary(place), DaemonWorld::ExpectedStatus(place))
          << PlaceName(place);
    }
  }

  void ExpectSurvives(Place place, CallerCrowd::Plan plan) {
    CallerCrowd crowd(world_.get(), place, std::move(plan));
    crowd.Run();
    ExpectOrdinaryServed();
    ExpectWithinLimits(crowd.PeakDescriptors());
  }

  DaemonWorld::Options options_;
  std::unique_ptr<DaemonWorld> world_;
};

class CrowdTest : public MisuseFixture,
                  public testing::WithParamInterface<Place> {
 protected:
  void SetUp() override { Start({}); }

  static std::string Path() { return DaemonWorld::Path(GetParam()); }

  static bool IsSmallListener() {
    return GetParam() == Place::kReadiness || GetParam() == Place::kMetrics;
  }

  // More than the listener accepts at once.
  static int ManyCallers() { return IsSmallListener() ? 100 : 300; }

  // Almost as many as the listener accepts at once.
  static int SomeCallers() { return IsSmallListener() ? 63 : 100; }

  CallerCrowd::Plan Plan(std::string bytes) const {
    CallerCrowd::Plan plan;
    plan.callers = SomeCallers();
    plan.bytes = std::move(bytes);
    return plan;
  }
};

INSTANTIATE_TEST_SUITE_P(Places, CrowdTest, testing::ValuesIn(kAllPlaces),
                         [](const testing::TestParamInfo<Place>& info) {
                           return PlaceName(info.param);
                         });

// Fails if the bodies of one listener are not counted, or a body that was
// refused is kept until its connection closes.
TEST_P(CrowdTest, BodiesOneByteShortStayWithinMemory) {
  ExpectSurvives(GetParam(), Plan(SizedRequest(Path(), kLegalBodyBytes, 1)));
}

// Fails like the previous one if each byte is counted late.
TEST_P(CrowdTest, BodiesInSmallPiecesStayWithinMemory) {
  CallerCrowd::Plan plan = Plan(SizedRequest(Path(), kLegalBodyBytes, 1));
  plan.piece = 4'000;
  ExpectSurvives(GetParam(), plan);
}

// Fails if only bodies of a stated length are counted.
TEST_P(CrowdTest, BodiesInChunksStayWithinMemory) {
  ExpectSurvives(GetParam(), Plan(ChunkedRequest(Path(), 1'000, 1'000)));
}

// Fails if framing bytes are held beside the body.
TEST_P(CrowdTest, BodiesInChunksOfOneByteStayWithinMemory) {
  ExpectSurvives(GetParam(), Plan(ChunkedRequest(Path(), 1, 60'000)));
}

// Fails if bytes of a body that was refused are kept.
TEST_P(CrowdTest, BodiesFarOverTheLimitStayWithinMemory) {
  CallerCrowd::Plan plan = Plan(ChunkedRequest(Path(), 10'000, 300));
  ExpectSurvives(GetParam(), plan);
}

TEST_P(CrowdTest, StatedLengthsFarOverTheLimitStayWithinMemory) {
  ExpectSurvives(GetParam(), Plan(Head("POST", Path(),
                                       "Content-Length: 1000000000000\r\n") +
                                  std::string(3'000'000, 'b')));
}

// Fails if fields are counted by their bytes on the wire: each takes sixteen
// times as much as an object.
TEST_P(CrowdTest, ManyShortFieldsStayWithinMemory) {
  ExpectSurvives(GetParam(), Plan(SizedRequest(Path(), 100, 1, ManyFields())));
}

// Fails if answers pile up at a caller that doesn't read them.
TEST_P(CrowdTest, PipelinedRequestsWithUnreadAnswersStayWithinMemory) {
  CallerCrowd::Plan plan =
      Plan(Repeat(DaemonWorld::OrdinaryRequest(GetParam()), 10'000));
  plan.callers = 40;
  ExpectSurvives(GetParam(), plan);
}

// Fails if connections that sent nothing keep others from being accepted.
TEST_P(CrowdTest, ConnectionsThatSendNothingKeepNobodyOut) {
  CallerCrowd::Plan plan = Plan("");
  plan.callers = ManyCallers();
  ExpectSurvives(GetParam(), plan);
}

TEST_P(CrowdTest, HeadsThatStopHalfwayKeepNobodyOut) {
  CallerCrowd::Plan plan =
      Plan("POST " + Path() + " HTTP/1.1\r\nHost: h\r\nReq");
  plan.callers = ManyCallers();
  ExpectSurvives(GetParam(), plan);
}

TEST_P(CrowdTest, BodiesThatStopHalfwayKeepNobodyOut) {
  CallerCrowd::Plan plan = Plan(SizedRequest(Path(), 60'000, 30'000));
  plan.callers = ManyCallers();
  ExpectSurvives(GetParam(), plan);
}

// Fails if any progress keeps a connection from being closed.
TEST_P(CrowdTest, CallersThatSendSlowlyKeepNobodyOut) {
  CallerCrowd::Plan plan = Plan(SizedRequest(Path(), 60'000, 1));
  plan.callers = ManyCallers();
  plan.piece = 1;
  plan.max_rounds = 200;
  plan.pause_ms = 1;
  ExpectSurvives(GetParam(), plan);
}

// Fails if idle connections keep others from being accepted.
TEST_P(CrowdTest, ConnectionsIdleAfterAnAnswerKeepNobodyOut) {
  CallerCrowd::Plan plan = Plan(DaemonWorld::OrdinaryRequest(GetParam()));
  plan.callers = ManyCallers();
  plan.reads = true;
  ExpectSurvives(GetParam(), plan);
}

// Fails if answers that are read slowly are held without a bound.
TEST_P(CrowdTest, CallersThatReadSlowlyKeepNobodyOut) {
  const std::string path =
      GetParam() == Place::kRoute ? "/safe/big" : DaemonWorld::Path(GetParam());
  CallerCrowd::Plan plan = Plan(Repeat(Head("GET", path, ""), 200));
  plan.callers = ManyCallers();
  plan.reads = true;
  plan.read_piece = 1;
  plan.max_rounds = 200;
  plan.pause_ms = 1;
  ExpectSurvives(GetParam(), plan);
}

class FrontTest : public MisuseFixture {};

// Fails if copies of a body that is being sent are not counted.
TEST_F(FrontTest, BodiesAtATargetThatDoesNotAnswerStayWithinMemory) {
  Start({});
  CallerCrowd::Plan plan;
  plan.callers = 40;
  plan.bytes = SizedRequest("/held/silent", 900'000, 0);
  ExpectSurvives(Place::kRoute, plan);
}

// Fails if fields are not counted while their request is in progress.
TEST_F(FrontTest, FieldsAtATargetThatDoesNotAnswerStayWithinMemory) {
  Start({});
  CallerCrowd::Plan plan;
  plan.callers = 60;
  plan.bytes = Head("GET", "/held/silent", ManyFields());
  ExpectSurvives(Place::kRoute, plan);
}

// Fails if a request in progress at a target is closed in favor of new
// connections.
TEST_F(FrontTest, RequestInProgressOutlivesACrowd) {
  Start({});
  OrdinaryCaller caller(world_.get(), Place::kRoute);
  caller.Send(Head("GET", "/held/later", ""));
  CallerCrowd::Plan plan;
  plan.callers = 300;
  plan.bytes = "POST /held/x HTTP/1.1\r\nHo";
  ExpectSurvives(Place::kRoute, plan);
  EXPECT_EQ(caller.AwaitStatus(), 200);
}

// Fails if a limit of memory refuses what is within the documented limits.
class LegalRequestTest : public MisuseFixture,
                         public testing::WithParamInterface<Place> {
 protected:
  // The smallest VM, and the largest body of a deployment.
  static DaemonWorld::Options SmallestVm() {
    DaemonWorld::Options options;
    options.memory_mb = 88;
    options.max_body_bytes = 4'194'304;
    return options;
  }

  void ExpectServed(const std::string& request) {
    EXPECT_EQ(world_->Ask(GetParam(), request),
              DaemonWorld::ExpectedStatus(GetParam()));
    ExpectWithinLimits(world_->OpenDescriptors());
  }

  static std::string Path() { return DaemonWorld::Path(GetParam()); }
};

INSTANTIATE_TEST_SUITE_P(Places, LegalRequestTest,
                         testing::ValuesIn(kAllPlaces),
                         [](const testing::TestParamInfo<Place>& info) {
                           return PlaceName(info.param);
                         });

TEST_P(LegalRequestTest, LargestBodyIsServed) {
  Start(SmallestVm());
  ExpectServed(SizedRequest(Path(), 4'194'304, 0));
}

TEST_P(LegalRequestTest, LargestBodyWithManyFieldsIsServed) {
  Start(SmallestVm());
  ExpectServed(SizedRequest(Path(), 4'194'304, 0, ManyFields()));
}

TEST_P(LegalRequestTest, LargestBodyInChunksIsServed) {
  Start(SmallestVm());
  ExpectServed(ChunkedRequest(Path(), 1'024, 4'096, ManyFields()) +
               "0\r\n\r\n");
}

TEST_P(LegalRequestTest, BodyOfOneMebibyteInLittleMemoryIsServed) {
  Start({});
  ExpectServed(SizedRequest(Path(), 1'048'576, 0, ManyFields()));
}

class IdleConnectionTest : public MisuseFixture {};

// Fails if a connection is closed before four fifths of the idle timeout, for
// which callers use it.
TEST_F(IdleConnectionTest, ServesAfterFourFifthsOfTheTimeout) {
  DaemonWorld::Options options;
  options.idle_timeout_ms = 5'000;
  Start(options);
  std::vector<std::unique_ptr<OrdinaryCaller>> callers;
  for (const Place place : kAllPlaces) {
    callers.push_back(std::make_unique<OrdinaryCaller>(world_.get(), place));
    callers.back()->Send(DaemonWorld::OrdinaryRequest(place));
    EXPECT_EQ(callers.back()->AwaitStatus(),
              DaemonWorld::ExpectedStatus(place));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(4'000));
  for (std::size_t i = 0; i < callers.size(); ++i) {
    callers[i]->DiscardReceived();
    callers[i]->Send(DaemonWorld::OrdinaryRequest(kAllPlaces[i]));
    EXPECT_EQ(callers[i]->AwaitStatus(),
              DaemonWorld::ExpectedStatus(kAllPlaces[i]))
        << PlaceName(kAllPlaces[i]);
  }
}

}  // namespace
}  // namespace hornbeamcleat
