#include "src/load/load_runner.h"

#include <algorithm>

#include "hornbeamcleat/base/error.h"
#include "src/load/address_book.h"
#include "src/load/engine_work.h"
#include "src/standin/fake_engine.h"
#include "tests/standin/standin_fixture.h"

namespace hornbeamcleat {
namespace {

class LoadRunnerTest : public testing::Test {
 protected:
  LoadRunnerTest() {
    RequestClass each;
    each.tier = "gold";
    each.model = "assistant";
    each.deadline = std::chrono::hours(1);
    experiment_.classes = {each};
    experiment_.length = std::chrono::milliseconds(300);
    experiment_.drain = std::chrono::minutes(2);
    experiment_.arrivals.per_second = 200;
    experiment_.lengths = {5, 1, 2, 20};
    targets_.engines = {server_.Where().ToString()};
    targets_.direct = true;
  }

  static FakeEngineSettings Settings() {
    FakeEngineSettings settings;
    settings.speed.step = std::chrono::milliseconds(1);
    return settings;
  }

  static std::int64_t Count(const LoadResult& result, RequestEnd end) {
    return std::count_if(
        result.records.begin(), result.records.end(),
        [end](const RequestRecord& each) { return each.end == end; });
  }

  StandinServer server_{MakeFakeEngine(Settings())};
  Experiment experiment_;
  LoadTargets targets_;
};

TEST_F(LoadRunnerTest, EngineHealthyAnswersAllWhole) {
  const LoadResult result = RunLoad(experiment_, targets_);
  ASSERT_GT(result.records.size(), 20U);
  EXPECT_EQ(Count(result, RequestEnd::kWholeInTime),
            static_cast<std::int64_t>(result.records.size()));
  const EngineWork work =
      ReadEngineWork(targets_.engines, std::chrono::seconds(10));
  EXPECT_EQ(work.requests, static_cast<std::int64_t>(result.records.size()));
  EXPECT_EQ(work.repeated_ids, 0);
}

TEST_F(LoadRunnerTest, SameSeedTwiceRepeatsNoId) {
  RunLoad(experiment_, targets_);
  const LoadResult result = RunLoad(experiment_, targets_);
  EXPECT_EQ(Count(result, RequestEnd::kWholeInTime),
            static_cast<std::int64_t>(result.records.size()));
}

TEST_F(LoadRunnerTest, FaultAtStartReachesEngine) {
  experiment_.events = {{Duration(0), 0, R"({"refuse":true})"}};
  RunLoad(experiment_, targets_);
  EXPECT_EQ(server_
                .Call("POST", "/v1/completions", R"({"prompt":"x"})",
                      {{"Request-Id", "after"}})
                .outcome,
            "not_run");
}

TEST_F(LoadRunnerTest, EventForUnknownEngineIsRefused) {
  experiment_.events = {{Duration(0), 1, "{}"}};
  EXPECT_THROW(RunLoad(experiment_, targets_), Error);
}

TEST(AddressBookTest, ListTakenIsUsedInTurn) {
  AddressBook book({"127.0.0.1:1"});
  EXPECT_EQ(book.Next(), "127.0.0.1:1");
  EXPECT_EQ(book.Take(R"({"ttlMs":500,"entries":[)"
                      R"({"name":"a","url":"http://127.0.0.1:2"},)"
                      R"({"name":"b","url":"http://127.0.0.1:3/"}]})"),
            std::chrono::milliseconds(500));
  const std::string first = book.Next();
  EXPECT_NE(first, book.Next());
  EXPECT_EQ(first, book.Next());
}

TEST(AddressBookTest, ListEmptyKeepsFormerAddresses) {
  AddressBook book({"127.0.0.1:1"});
  book.Take(R"({"entries":[]})");
  EXPECT_EQ(book.Next(), "127.0.0.1:1");
}

TEST(ExperimentTest, MemberOutOfRangeIsRefused) {
  const std::string head = R"({"classes":[{"name":"a","workspace":"w",)"
                           R"("application":"p","tier":"t","rank":0,)"
                           R"("model":"m"}])";
  EXPECT_EQ(ParseExperiment(head + "}").classes.size(), 1U);
  for (const char* bad :
       {R"(,"arrivals":{"perSecond":0}})", R"(,"lengths":{"minTokens":0}})",
        R"(,"prompts":{"prefixes":0}})", R"(,"events":[{"engine":0}]})"}) {
    EXPECT_THROW(ParseExperiment(head + bad), Error) << bad;
  }
  EXPECT_THROW(ParseExperiment(R"({"classes":[]})"), Error);
  EXPECT_THROW(ParseExperiment("{}"), Error);
}

}  // namespace
}  // namespace hornbeamcleat
