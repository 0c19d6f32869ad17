#include "platform/wire_codec.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace hornbeamcleat::platform {
namespace {

using std::chrono::milliseconds;

class WireCodecTest : public testing::Test {
 protected:
  static std::string Value(const HeaderList& headers, std::string_view name) {
    const std::string* value = FindHeader(headers, name);
    return value == nullptr ? "(none)" : *value;
  }

  const std::unique_ptr<HttpCodec> codec_ = MakeWireCodec();
};

TEST_F(WireCodecTest, ParseRequestHeadersReadsTokensAndTimeout) {
  const RequestInfo facts =
      codec_->ParseRequestHeaders({{"Request-Id", "i"},
                                   {"deadline-ms", "1500"},
                                   {"Api-Key", "k"},
                                   {"Token-Count", "1460,80"},
                                   {"Length-Hint", "60"}});
  EXPECT_EQ(facts.id, "i");
  EXPECT_EQ(facts.wait_limit, milliseconds(1'500));
  EXPECT_EQ(facts.key, "k");
  EXPECT_TRUE(facts.states_tokens);
  EXPECT_EQ(facts.prompt_tokens, 1'460U);
  EXPECT_EQ(facts.max_output_tokens, 80U);
  EXPECT_EQ(facts.quota_tokens, 1'540);
}

TEST_F(WireCodecTest, ParseRequestHeadersIgnoresMalformedNumbers) {
  const RequestInfo facts = codec_->ParseRequestHeaders(
      {{"Deadline-Ms", "soon"}, {"Token-Count", "12;x"}});
  EXPECT_FALSE(facts.wait_limit.has_value());
  EXPECT_FALSE(facts.states_tokens);
}

TEST_F(WireCodecTest, ParseRequestHeadersReadsWhatRequestsShare) {
  const RequestInfo info = codec_->ParseRequestHeaders(
      {{"Prefix-Hash", "5c1e07a2:800, 91bd3f06:410,,e4402b7d"},
       {"Model", "m"},
       {"Api-Key", "k"},
       {"Token-Count", "1460,80"}});
  const std::vector<RequestProperty> expected = {
      SizeProperty("prompt", 1'024),     {PropertyKind::kSize, "prompt=1460"},
      SizeProperty("output", 64),        {PropertyKind::kSize, "output=80"},
      {PropertyKind::kPart, "5c1e07a2"}, {PropertyKind::kPart, "91bd3f06"},
      {PropertyKind::kPart, "e4402b7d"}, {PropertyKind::kModel, "m"},
      {PropertyKind::kKey, "k"}};
  EXPECT_EQ(info.properties, expected);
}

TEST_F(WireCodecTest, ParseRequestHeadersBoundsNumberOfParts) {
  std::string parts;
  for (int i = 0; i < 5'000; ++i) {
    parts += "1:1,";
  }
  EXPECT_EQ(
      codec_->ParseRequestHeaders({{"Prefix-Hash", parts}}).properties.size(),
      16U);
}

// A client must not set the headers that only the scheduler sends to a target.
TEST_F(WireCodecTest, BuildRequestHeadersReplacesReservedHeaders) {
  HeaderList sent = {{"Request-Id", "i"},
                     {"Api-Key", "secret"},
                     {"X-Other", "kept"},
                     {"Deadline-Ms", "99999"}};
  for (const char* name : {"Tenant-Id", "Expected-Instance", "Hold", "Pin-Ms",
                           "Kv-Fetch", "Kv-From", "Kv-Backup"}) {
    sent.push_back({name, "forged"});
  }
  DispatchInfo facts;
  facts.target_id = "t";
  facts.workspace = "w";
  facts.time_left = milliseconds(250);
  const HeaderList headers = codec_->BuildRequestHeaders(sent, facts);
  for (const HeaderField& field : headers) {
    EXPECT_NE(field.value, "forged") << field.name;
    EXPECT_NE(field.value, "secret") << field.name;
  }
  EXPECT_EQ(Value(headers, "Request-Id"), "i");
  EXPECT_EQ(Value(headers, "X-Other"), "kept");
  EXPECT_EQ(Value(headers, "Deadline-Ms"), "250");
  EXPECT_EQ(Value(headers, "Expected-Instance"), "t");
  EXPECT_EQ(Value(headers, "Tenant-Id"), "w");
  EXPECT_EQ(CountHeader(headers, "Deadline-Ms"), 1);
}

TEST_F(WireCodecTest, BuildRequestHeadersOfResumeReplacesCallersEvent) {
  DispatchInfo facts;
  facts.resume_after = "9";
  const HeaderList headers =
      codec_->BuildRequestHeaders({{"Last-Event-Id", "3"}}, facts);
  EXPECT_EQ(Value(headers, "Last-Event-Id"), "9");
  EXPECT_EQ(CountHeader(headers, "Last-Event-Id"), 1);
}

TEST_F(WireCodecTest, ParseResponseHeadersDetectsRequestsThatWereNotExecuted) {
  EXPECT_TRUE(
      codec_->ParseResponseHeaders(503, {{"Not-Executed", "1"}}).not_executed);
  EXPECT_TRUE(codec_->ParseResponseHeaders(421, {}).not_executed);
  EXPECT_FALSE(codec_->ParseResponseHeaders(503, {}).not_executed);
  EXPECT_TRUE(codec_->ParseResponseHeaders(200, {{"Upstream-Signature", "s"}})
                  .is_signed);
}

TEST_F(WireCodecTest, BuildOwnResponseHeadersNeverSigns) {
  const HeaderList headers =
      codec_->BuildOwnResponseHeaders("i", milliseconds(1'250));
  EXPECT_EQ(Value(headers, "Retry-After"), "1.250");
  EXPECT_EQ(Value(headers, "Upstream-Signature"), "(none)");
}

TEST_F(WireCodecTest, ParseDirectoryQueryReadsFailureDomain) {
  const std::optional<DirectoryQuery> query =
      codec_->ParseDirectoryQuery("/-/resolve?name=h&region=r&zone=z1");
  ASSERT_TRUE(query.has_value());
  EXPECT_EQ(query->failure_domain, "z1");
  EXPECT_EQ(query->region, "r");
  EXPECT_EQ(codec_->ParseDirectoryQuery("/-/resolve?name=h")->region, "");
  EXPECT_FALSE(codec_->ParseDirectoryQuery("/other").has_value());
  EXPECT_EQ(
      codec_->FormatDirectoryResponse({"a:1", "b:2"}, milliseconds(2'000)),
      R"({"addresses":["a:1","b:2"],"ttl_s":2})");
}

TEST_F(WireCodecTest, LeavingOfTargetIsReadFromAnswersOfEachStatus) {
  for (const int status : {200, 204, 400, 421, 429, 500, 503, 504}) {
    EXPECT_TRUE(codec_->ParseResponseHeaders(status, {{"server-leaving", "1"}})
                    .statement.is_leaving);
  }
  for (const char* other : {"0", "", "yes", "11"}) {
    EXPECT_FALSE(codec_->ParseResponseHeaders(200, {{"Server-Leaving", other}})
                     .statement.is_leaving);
  }
  EXPECT_TRUE(codec_
                  ->ParseResponseHeaders(
                      200, {{"Server-Leaving", "1"}, {"Server-Leaving", "0"}})
                  .statement.is_leaving);
}

TEST_F(WireCodecTest, RestOfTargetIsReadAsBoundedSeconds) {
  const auto rest = [this](const std::string& text) {
    return codec_->ParseResponseHeaders(503, {{"Retry-After", text}})
        .statement.rest;
  };
  EXPECT_EQ(rest("2"), milliseconds(2'000));
  EXPECT_EQ(rest("2.5"), milliseconds(2'500));
  EXPECT_EQ(rest("0"), Duration(0));
  for (const char* absurd : {"1e9", "99999999999", "1e300"}) {
    EXPECT_EQ(rest(absurd), std::chrono::hours(24)) << absurd;
  }
  for (const char* invalid :
       {"", "-1", "-0.5", "soon", "nan", "inf", "2 s", "2,5",
        "Wed, 21 Oct 2026 07:28:00 GMT", "1e999"}) {
    EXPECT_EQ(rest(invalid), std::nullopt) << invalid;
    EXPECT_TRUE(codec_->ParseResponseHeaders(503, {{"Retry-After", invalid}})
                    .statement.has_invalid_rest);
  }
  const HeaderList twice = {{"Retry-After", "3"}, {"Retry-After", "1"}};
  EXPECT_EQ(codec_->ParseResponseHeaders(503, twice).statement.rest,
            milliseconds(3'000));
}

TEST_F(WireCodecTest, LimitOfTargetIsReadAsRequestsPerSecond) {
  const auto statement = [this](const HeaderList& headers, int status = 200) {
    return codec_->ParseResponseHeaders(status, headers).statement;
  };
  const auto limit = [&](const std::string& text) {
    return statement({{"Server-Limit", text}}).request_limit;
  };
  EXPECT_EQ(limit("2.4"), 2.4);
  EXPECT_EQ(limit("15"), 15);
  EXPECT_EQ(limit("0"), 0);
  EXPECT_EQ(limit("0.05"), 0.05);
  EXPECT_EQ(limit("1e9"), 1e9);
  for (const char* invalid :
       {"", "-1", "-0.5", "few", "nan", "inf", "2 /s", "2,5", "1e999"}) {
    EXPECT_EQ(limit(invalid), std::nullopt) << invalid;
    EXPECT_TRUE(statement({{"Server-Limit", invalid}}).has_invalid_limit);
  }
  for (const int status : {200, 404, 421, 500, 503}) {
    EXPECT_EQ(statement({{"server-limit", "3"}}, status).request_limit, 3);
  }
  const TargetStatement twice =
      statement({{"Server-Limit", "3"}, {"Server-Limit", "1"}});
  EXPECT_EQ(twice.request_limit, 1);
  EXPECT_TRUE(statement({{"Server-Leaving", "0"}}).IsEmpty());
}

TEST_F(WireCodecTest, ColdTimeOfHealthResponseIsReadInMilliseconds) {
  const auto cold = [this](const std::string& text) {
    return codec_->ParseResponseHeaders(200, {{"Cold-Remaining-Ms", text}})
        .statement.cold_remaining;
  };
  EXPECT_EQ(cold("2500"), std::chrono::milliseconds(2'500));
  EXPECT_EQ(cold("0"), Duration(0));
  for (const char* invalid :
       {"", "-1", "warm", "nan", "inf", "1e999", "5 ms"}) {
    EXPECT_EQ(cold(invalid), std::nullopt) << invalid;
  }
  EXPECT_LE(*cold("1e300"), std::chrono::hours(24));
}

TEST_F(WireCodecTest, LoadOfTargetIsReadInAnswersOfAnyStatus) {
  const auto load = [this](const std::string& text, int status = 200) {
    return codec_->ParseResponseHeaders(status, {{"replica-load", text}}).load;
  };
  const TargetLoadReport plain{3, 1, 8, std::nullopt};
  const TargetLoadReport slow{3, 1, 8, 2.5};
  for (const int status : {200, 404, 500, 503}) {
    EXPECT_EQ(load("3,1,8", status), plain) << status;
    EXPECT_EQ(load("3, 1, 8, 250", status), slow) << status;
  }
  EXPECT_EQ(load("3,1,8", 421), std::nullopt)
      << "another target answers a misdirected request";
  EXPECT_EQ(codec_->ParseResponseHeaders(200, {}).load, std::nullopt);
  EXPECT_FALSE(codec_->ParseResponseHeaders(200, {}).has_invalid_load);
}

TEST_F(WireCodecTest, InvalidPartsOfLoadAreIgnored) {
  const auto info = [this](const std::string& text) {
    return codec_->ParseResponseHeaders(200, {{"Replica-Load", text}});
  };
  for (const char* invalid : {"", "3", "3,1", "3,1,", ",,", "-3,1,8", "3,1,8.5",
                              "nan,1,8", "a,b,c", "99999999999,1,8"}) {
    EXPECT_FALSE(info(invalid).load.has_value()) << invalid;
    EXPECT_TRUE(info(invalid).has_invalid_load) << invalid;
  }
  const TargetLoadReport plain{3, 1, 8, std::nullopt};
  for (const char* invalid : {"3,1,8,-1", "3,1,8,0", "3,1,8,nan", "3,1,8,inf",
                              "3,1,8,1e999", "3,1,8,fast"}) {
    EXPECT_EQ(info(invalid).load, plain) << invalid;
    EXPECT_TRUE(info(invalid).has_invalid_load) << invalid;
  }
  EXPECT_TRUE(info("3,1,8,100,7").has_invalid_load);
}

// Only a refusal asks for rest; in other answers the header is the caller's.
TEST_F(WireCodecTest, RetryAfterOfOtherStatusIsNoRest) {
  for (const int status : {200, 301, 429, 500, 502}) {
    EXPECT_TRUE(codec_->ParseResponseHeaders(status, {{"Retry-After", "2"}})
                    .statement.IsEmpty());
  }
}

}  // namespace
}  // namespace hornbeamcleat::platform
