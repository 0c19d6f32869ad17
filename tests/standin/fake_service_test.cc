#include "src/standin/fake_service.h"

#include "tests/standin/standin_fixture.h"

namespace hornbeamcleat {
namespace {

class FakeServiceTest : public testing::Test {
 protected:
  StandinServer::Reply Book(const std::string& id, const std::string& key) {
    return server_.Call("POST", "/v1/bookings", "{}",
                        {{"Request-Id", id}, {"Idempotency-Key", key}});
  }

  std::int64_t Executions(const std::string& group, const std::string& name) {
    return JsonMember<std::int64_t>(
        server_.Json("/executions").getMember(group), name, 0);
  }

  StandinServer server_{MakeFakeService({Duration(0), "v1"})};
};

TEST_F(FakeServiceTest, CallsAreCountedByKeyAndRequest) {
  EXPECT_EQ(Book("r1", "k").status, 200);
  EXPECT_EQ(Book("r2", "k").status, 200);
  EXPECT_EQ(Executions("byKey", "k"), 2);
  EXPECT_EQ(Executions("byRequestId", "r1"), 1);
}

TEST_F(FakeServiceTest, AnswerLostCallHasRun) {
  server_.Call("POST", "/faults", R"({"loseAnswerEvery":1})");
  EXPECT_EQ(Book("r1", "k").status, 0);
  EXPECT_EQ(Executions("byKey", "k"), 1);
}

TEST_F(FakeServiceTest, RefusedCallHasNotRun) {
  server_.Call("POST", "/faults", R"({"refuse":true})");
  const StandinServer::Reply reply = Book("r1", "k");
  EXPECT_EQ(reply.status, 503);
  EXPECT_EQ(reply.outcome, "not_run");
  EXPECT_EQ(Executions("byKey", "k"), 0);
}

}  // namespace
}  // namespace hornbeamcleat
