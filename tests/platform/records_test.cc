#include "platform/records.h"

#include <gtest/gtest.h>

#include <string>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat::platform {
namespace {

using std::chrono::milliseconds;

class RecordsTest : public testing::Test {
 protected:
  static std::string Config(const std::string& routes) {
    return R"({"version":7,"routes":[)" + routes +
           R"(],"services":[{"name":"s","max_connections":370,"engine":{}}],)"
           R"("limits":{"max_header_bytes":100,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"w","api_keys":["k"],"priority":1,)"
           R"("unit":"token_report","plain_tokens":200,"rate_per_s":5,)"
           R"("burst":6}]})";
  }

  static constexpr char kRoute[] =
      R"({"name":"r","hostname":"h","path_prefix":"/p/",)"
      R"("route_type":"streaming","timeout_ms":15000,)"
      R"("target_latency_ms":400,"priority":1,"service":"s",)"
      R"("max_attempts":2,"public":false,"resumable":true,)"
      R"("gap_target_ms":250})";

  static constexpr char kTarget[] =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
      R"("slots":11,"state":"ready","born":5,"seq":4})";
};

TEST_F(RecordsTest, DecodeConfigReadsAllFields) {
  const ServingConfig config = DecodeConfig(Config(kRoute));
  EXPECT_EQ(config.version, 7);
  ASSERT_EQ(config.routes.size(), 1U);
  const ServingRoute& route = config.routes[0];
  EXPECT_EQ(route.kind, RouteKind::kStreaming);
  EXPECT_EQ(route.timeout, milliseconds(15'000));
  EXPECT_EQ(route.objective, milliseconds(400));
  EXPECT_EQ(route.max_pause, milliseconds(250));
  EXPECT_EQ(route.max_attempts, 2);
  EXPECT_TRUE(route.MayRepeat());
  EXPECT_EQ(route.shares, (std::vector<ServiceShare>{{"s", 1}}));
  EXPECT_TRUE(config.services[0].is_engine);
  EXPECT_EQ(config.limits.max_header_bytes, 100U);
  const ServingWorkspace& workspace = config.workspaces[0];
  EXPECT_EQ(workspace.rank, 1);
  EXPECT_TRUE(workspace.counts_tokens);
  EXPECT_EQ(workspace.burst, 6);
}

TEST_F(RecordsTest, DecodeConfigWithSplitRouteReadsWeights) {
  const ServingConfig config = DecodeConfig(Config(
      R"({"hostname":"h","path_prefix":"/p/","route_type":"idempotent",)"
      R"("timeout_ms":10,"weighted_backends":[{"service":"a","weight":90},)"
      R"({"service":"b","weight":10}]})"));
  EXPECT_EQ(config.routes[0].shares,
            (std::vector<ServiceShare>{{"a", 90}, {"b", 10}}));
}

TEST_F(RecordsTest, DecodeConfigWithUnknownKindIsNotRetryable) {
  const ServingConfig config = DecodeConfig(
      Config(R"({"hostname":"h","path_prefix":"/","route_type":"new",)"
             R"("timeout_ms":10,"service":"s"})"));
  EXPECT_FALSE(config.routes[0].MayRepeat());
}

TEST_F(RecordsTest, DecodeConfigWithMissingOrWrongFieldThrows) {
  EXPECT_THROW(DecodeConfig(R"({"routes":[]})"), Error);
  EXPECT_THROW(DecodeConfig(R"({"version":"7","routes":[]})"), Error);
  EXPECT_THROW(DecodeConfig("not json"), Error);
}

TEST_F(RecordsTest, DecodeTargetReadsAllFields) {
  const ServingTarget target = DecodeTarget("i-1", kTarget);
  EXPECT_EQ(target.id, "i-1");
  EXPECT_EQ(target.address, "10.0.0.1:80");
  EXPECT_EQ(target.slots, 11);
  EXPECT_EQ(target.start_time_ms, 5);
  EXPECT_FALSE(target.is_draining);
}

TEST_F(RecordsTest, DecodeTargetWithInvalidEntryThrows) {
  for (const char* json :
       {R"({"service":"s","address":"10.0.0.1:80","slots":"11",)"
        R"("state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:80","slots":11,)"
        R"("state":"gone"})",
        R"({"service":"s","address":"nowhere","slots":11,"state":"ready"})",
        R"({"service":7,"address":"10.0.0.1:80","slots":11,)"
        R"("state":"ready"})",
        R"({"address":"10.0.0.1:80","slots":11,"state":"ready"})", "\xff\x01",
        "[]", ""}) {
    EXPECT_THROW(DecodeTarget("x", json), Error) << json;
  }
}

TEST_F(RecordsTest, DecodeNewestReadsValuesFromBase64) {
  const NewestPage page =
      DecodeNewest(R"({"items":[{"key":"a","value":"aGk=","offset":4},)"
                   R"({"key":"b","value":"aGVsbG8h","offset":5}],)"
                   R"("truncated":true,"end":6})");
  EXPECT_EQ(page.end, 6U);
  EXPECT_TRUE(page.has_more);
  EXPECT_EQ(page.records,
            (std::vector<KeyedRecord>{{"a", "hi"}, {"b", "hello!"}}));
}

TEST_F(RecordsTest, DecodeBatchReversesEncodeKeyedRecord) {
  std::string bytes(16, '\0');
  bytes[7] = 9;
  bytes += EncodeKeyedRecord({"key", "value"});
  bytes += EncodeKeyedRecord({"gone", ""});
  const LogBatch batch = DecodeBatch(bytes, 7);
  EXPECT_EQ(batch.end, 9U);
  EXPECT_EQ(batch.next, 9U);
  EXPECT_EQ(batch.records,
            (std::vector<KeyedRecord>{{"key", "value"}, {"gone", ""}}));
}

TEST_F(RecordsTest, DecodeTruncatedBatchThrows) {
  std::string bytes(16, '\0');
  bytes += EncodeKeyedRecord({"key", "value"});
  EXPECT_THROW(DecodeBatch(bytes.substr(0, bytes.size() - 1), 0), Error);
  EXPECT_THROW(DecodeBatch(bytes.substr(0, 18), 0), Error);
  EXPECT_THROW(DecodeBatch("short", 0), Error);
}

}  // namespace
}  // namespace hornbeamcleat::platform
