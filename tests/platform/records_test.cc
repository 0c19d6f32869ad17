#include "platform/records.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

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

// Guards against a key of one workspace that another text opens.
TEST_F(RecordsTest, DecodeConfigKeepsNamesAndKeysInUtf8Apart) {
  const ServingConfig config = DecodeConfig(
      R"({"version":1,"tenants":[{"name":"\u65e5","api_keys":["\u65e5"]},)"
      "{\"name\":\"\xe6\x9c\xac\",\"api_keys\":[\"\xe6\x9c\xac\"]}]}");
  ASSERT_EQ(config.workspaces.size(), 2U);
  EXPECT_EQ(config.workspaces[0].name, "\xe6\x97\xa5");
  EXPECT_EQ(config.workspaces[0].keys,
            std::vector<std::string>{"\xe6\x97\xa5"});
  EXPECT_EQ(config.workspaces[1].name, "\xe6\x9c\xac");
  EXPECT_EQ(config.workspaces[1].keys,
            std::vector<std::string>{"\xe6\x9c\xac"});
}

// Guards against a list of workspaces that is empty or can't be read, and is
// taken for a configuration that asks for no keys.
TEST_F(RecordsTest, DecodeConfigRequiresKeysUnlessListIsMissing) {
  const auto with_tenants = [](const std::string& json) {
    return DecodeConfig(R"({"version":1,"tenants":)" + json + "}");
  };
  EXPECT_FALSE(DecodeConfig(R"({"version":1})").requires_keys);
  EXPECT_TRUE(DecodeConfig(Config(kRoute)).requires_keys);
  EXPECT_TRUE(with_tenants("[]").requires_keys);
  EXPECT_TRUE(with_tenants("[]").workspaces.empty());
  EXPECT_TRUE(with_tenants(R"([{"name":"w"}])").requires_keys);
  for (const char* json :
       {"null", "{}", R"({"a":{"name":"w","api_keys":["k"]}})", R"("none")",
        "\"\"", "7", "false", "true"}) {
    EXPECT_THROW(with_tenants(json), Error) << json;
  }
}

// Guards against a member of another type that reads as a key, above all as the
// empty one, which requests without a key have.
TEST_F(RecordsTest, DecodeConfigReadsOnlyStringsAsKeys) {
  const auto keys = [](const std::string& json) {
    return DecodeConfig(R"({"version":1,"tenants":[{"name":"w","api_keys":)" +
                        json + "}]}")
        .workspaces[0]
        .keys;
  };
  const std::vector<std::string> none;
  EXPECT_EQ(keys(R"(["a","b"])"), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(keys(R"(["a",null,{},[],["c"],7,true])"),
            std::vector<std::string>{"a"});
  for (const char* json :
       {"[]", "[null]", "null", R"("a")", R"({"x":"a"})", "{}", "7", "true"}) {
    EXPECT_EQ(keys(json), none) << json;
  }
}

// Guards against a list that can't be read and is taken for an empty one: a
// service without limits, or a store without records.
TEST_F(RecordsTest, DecodeOfListWithAnotherTypeThrows) {
  for (const char* json : {"{}", R"({"a":{}})", R"("x")", "7", "true"}) {
    const std::string list = json;
    EXPECT_THROW(DecodeConfig(R"({"version":1,"routes":)" + list + "}"), Error);
    EXPECT_THROW(DecodeConfig(R"({"version":1,"services":)" + list + "}"),
                 Error);
    EXPECT_THROW(
        DecodeConfig(Config(R"({"hostname":"h","path_prefix":"/p/",)"
                            R"("route_type":"idempotent","timeout_ms":10,)"
                            R"("service":"s","weighted_backends":)" +
                            list + "}")),
        Error);
    EXPECT_THROW(DecodeNewest(R"({"end":1,"items":)" + list + "}"), Error);
  }
  EXPECT_THROW(DecodeNewest(R"({"end":1,"items":null})"), Error);
  EXPECT_THROW(DecodeNewest(R"({"end":1})"), Error);
  EXPECT_TRUE(DecodeNewest(R"({"end":1,"items":[]})").records.empty());
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

TEST_F(RecordsTest, DecodeTargetReadsColdTime) {
  const auto cold = [](const std::string& value) {
    std::string json = kTarget;
    json.insert(json.rfind('}'), ",\"cold_remaining_ms\":" + value);
    return DecodeTarget("t", json).cold_remaining;
  };
  EXPECT_EQ(DecodeTarget("t", kTarget).cold_remaining, std::nullopt);
  EXPECT_EQ(cold("2500"), std::chrono::milliseconds(2'500));
  EXPECT_EQ(cold("0"), Duration(0));
  // A value that can't be read must not take the target away.
  for (const char* invalid : {"-1", "null", "\"9\"", "true", "[]", "{}"}) {
    EXPECT_EQ(cold(invalid), std::nullopt) << invalid;
  }
  for (const char* huge : {"1e300", "99999999999999999999"}) {
    EXPECT_LE(cold(huge).value_or(Duration(0)), std::chrono::minutes(10));
  }
}

TEST_F(RecordsTest, DecodeConfigReadsColdStartOfServices) {
  const auto service = [](const std::string& members) {
    return DecodeConfig(R"({"version":1,"services":[{"name":"s")" + members +
                        "}]}")
        .services[0];
  };
  EXPECT_EQ(service("").cold_per_second, 0);
  EXPECT_EQ(service(R"(,"coldstart_per_s":0,"cold_start_s":6)").cold_per_second,
            0);
  EXPECT_EQ(service(R"(,"cold_start_s":6)").cold_per_second, 0);
  const ServiceSpec cold =
      service(R"(,"coldstart_per_s":9.1,"cold_start_s":6)");
  EXPECT_EQ(cold.cold_per_second, 9.1);
  EXPECT_EQ(cold.cold_start, std::chrono::seconds(6));
  // Neither the configuration is lost nor the caution.
  for (const char* invalid : {"-1", "\"9\"", "true", "[]"}) {
    const ServiceSpec odd =
        service(std::string(R"(,"coldstart_per_s":)") + invalid);
    EXPECT_EQ(odd.cold_per_second, 1) << invalid;
    EXPECT_GT(odd.cold_start, Duration(0)) << invalid;
  }
  EXPECT_LE(
      service(R"(,"coldstart_per_s":1e300,"cold_start_s":1e300)").cold_start,
      std::chrono::minutes(10));
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

// Entries of another writer. None may name a target, and none may end the
// process.
TEST_F(RecordsTest, DecodeTargetRejectsOddEntries) {
  const auto entry = [](const std::string& member, const std::string& value) {
    std::string json = kTarget;
    const std::size_t at = json.find("\"" + member + "\":") + member.size() + 3;
    json.replace(at, json.find_first_of(",}", at) - at, value);
    return json;
  };
  EXPECT_NO_THROW(DecodeTarget("t", kTarget));
  for (const char* slots :
       {"4294967297", "-4294967295", "99999999999999999999", "1e300", "0",
        "2147483647", "1.5", "\"8\"", "[]", "{}", "null", "true"}) {
    EXPECT_THROW(DecodeTarget("t", entry("slots", slots)), Error) << slots;
  }
  for (const char* address :
       {"\"10.0.0.1:65536\"", "\"10.0.0.1:0\"", "\"10.0.0.C:80\"",
        "\"10.0.0.1:-1\"", "\"10.0.0.1:99999999999\"", "\"10.0.0.1\"", "\"\"",
        "7", "null"}) {
    EXPECT_THROW(DecodeTarget("t", entry("address", address)), Error)
        << address;
  }
  for (const char* born : {"99999999999999999999", "1e300", "\"5\"", "[]"}) {
    EXPECT_THROW(DecodeTarget("t", entry("born", born)), Error) << born;
  }
  const std::string nested(100'000, '[');
  EXPECT_THROW(DecodeTarget("t", nested), Error);
  EXPECT_THROW(DecodeTarget("t", entry("zone", nested)), Error);
}

TEST_F(RecordsTest, DecodeConfigRejectsNumbersOutOfRange) {
  const auto with = [](const std::string& member, const std::string& value) {
    std::string json = Config(kRoute);
    const std::size_t at = json.find("\"" + member + "\":") + member.size() + 3;
    json.replace(at, json.find_first_of(",}", at) - at, value);
    return json;
  };
  EXPECT_NO_THROW(DecodeConfig(Config(kRoute)));
  for (const char* member :
       {"timeout_ms", "target_latency_ms", "gap_target_ms", "idle_timeout_ms",
        "priority", "max_attempts", "max_connections", "max_header_bytes"}) {
    for (const char* value :
         {"1e300", "99999999999999999999", "-1", "-9223372036854775808"}) {
      EXPECT_THROW(DecodeConfig(with(member, value)), Error)
          << member << " " << value;
    }
  }
  for (const char* member : {"priority", "max_attempts", "max_connections"}) {
    EXPECT_THROW(DecodeConfig(with(member, "4294967297")), Error) << member;
  }
}

TEST_F(RecordsTest, DecodeMoveOrderRejectsTimesOutOfRange) {
  for (const char* seconds : {"1e300", "99999999999999999999", "-1", "0"}) {
    EXPECT_THROW(
        DecodeMoveOrder(std::string(R"({"service":"s","target":"v",)") +
                        R"("duration_s":)" + seconds + "}"),
        Error)
        << seconds;
  }
}

// A restriction with a typing error must not open all regions.
TEST_F(RecordsTest, DecodeConfigReadsAllowedRegionsOfRoutesAndWorkspaces) {
  struct Case {
    const char* json;
    AllowedRegions expected;
  };
  const std::vector<std::string> none;
  const std::vector<Case> cases = {
      {"null", std::nullopt},
      {R"(["eu"])", std::vector<std::string>{"eu"}},
      {R"(["eu","us"])", std::vector<std::string>{"eu", "us"}},
      {"[]", none},
      {R"("eu")", none},
      {"{}", none},
      {R"({"a":"eu"})", none},
      {"7", none},
      {"true", none},
      {R"(["eu",7])", none},
      {R"(["eu",null])", none},
      {R"([["eu"]])", none},
  };
  for (const Case& item : cases) {
    const ServingConfig config = DecodeConfig(
        std::string(R"({"version":1,"routes":[{"name":"r","hostname":"h",)"
                    R"("path_prefix":"/p/","route_type":"streaming",)"
                    R"("timeout_ms":1000,"service":"s","allowed_regions":)") +
        item.json + R"(}],"services":[],"tenants":[{"name":"w",)" +
        R"("api_keys":["k"],"allowed_regions":)" + item.json + "}]}");
    EXPECT_EQ(config.routes[0].allowed_regions, item.expected) << item.json;
    EXPECT_EQ(config.workspaces[0].allowed_regions, item.expected) << item.json;
  }
  const ServingConfig config = DecodeConfig(Config(kRoute));
  EXPECT_EQ(config.routes[0].allowed_regions, std::nullopt);
  EXPECT_EQ(config.workspaces[0].allowed_regions, std::nullopt);
}

}  // namespace
}  // namespace hornbeamcleat::platform
