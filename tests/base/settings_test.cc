#include "hornbeamcleat/base/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

class SettingsTest : public testing::Test {
 protected:
  Settings Parse(const std::string& text) const {
    std::istringstream in(text);
    return Settings::Parse(in, "test.ini", rules_);
  }

  std::string ErrorOf(const std::string& text) const {
    try {
      Parse(text);
    } catch (const Error& e) {
      return e.what();
    }
    return "";
  }

  const std::vector<SettingRule> rules_ = {
      {"a", "name", SettingType::kText, "", true, 0, 0, "Name."},
      {"a", "wait", SettingType::kDuration, "50ms", false, 1'000, 1'000'000,
       "Wait."},
      {"a", "listen_one", SettingType::kAddress, "127.0.0.1:0", false, 0, 0,
       "One."},
      {"a", "listen_two", SettingType::kAddress, "127.0.0.1:0", false, 0, 0,
       "Two."},
      {"a", "share", SettingType::kNumber, "0.1", false, 0, 1, "Share."},
      {"b", "peers", SettingType::kAddressList, "", false, 0, 0, "Peers."},
  };
};

TEST_F(SettingsTest, ParseGoodFileReadsTypedValues) {
  const Settings settings = Parse(
      "[a]\nname = x\nwait = 20ms\n[b]\npeers = 127.0.0.1:1, 127.0.0.1:2\n");
  EXPECT_EQ(settings.Text("a", "name"), "x");
  EXPECT_EQ(settings.GetDuration("a", "wait"), std::chrono::milliseconds(20));
  EXPECT_EQ(settings.GetAddressList("b", "peers").size(), 2U);
}

TEST_F(SettingsTest, ParseFractionsReadsNumbersAndDurations) {
  const Settings settings = Parse("[a]\nname=x\nshare=0.25\nwait=20.5ms\n");
  EXPECT_DOUBLE_EQ(settings.Number("a", "share"), 0.25);
  EXPECT_EQ(settings.GetDuration("a", "wait"),
            std::chrono::microseconds(20'500));
}

TEST_F(SettingsTest, ParseBadFractionIsRefused) {
  for (const char* value : {"1.5", "-0.1", "0x1", "1e-1", "0.1.2", "."}) {
    EXPECT_THAT(ErrorOf(std::string("[a]\nname=x\nshare=") + value + "\n"),
                testing::HasSubstr("expected number"))
        << value;
  }
  EXPECT_THAT(ErrorOf("[a]\nname=x\nwait=0x5ms\n"),
              testing::HasSubstr("expected duration"));
}

TEST_F(SettingsTest, ParseUnknownKeyNamesFileLineAndKey) {
  EXPECT_THAT(ErrorOf("[a]\nname=x\nnme=y\n"),
              testing::HasSubstr("test.ini:3: [a] nme"));
}

TEST_F(SettingsTest, ParseMissingUnitSaysWhatWasExpected) {
  EXPECT_THAT(ErrorOf("[a]\nname=x\nwait=20\n"),
              testing::HasSubstr("expected duration with unit"));
}

TEST_F(SettingsTest, ParseOutOfRangeIsRefused) {
  EXPECT_THAT(ErrorOf("[a]\nname=x\nwait=2s\n"), testing::HasSubstr("1000us"));
}

TEST_F(SettingsTest, ParseKeyTwiceIsRefused) {
  EXPECT_THAT(ErrorOf("[a]\nname=x\nname=y\n"),
              testing::HasSubstr("test.ini:3: [a] name: duplicate key"));
}

TEST_F(SettingsTest, ParseAddressUsedTwiceIsRefused) {
  EXPECT_THAT(
      ErrorOf("[a]\nname=x\nlisten_one=127.0.0.1:9\nlisten_two=127.0.0.1:9\n"),
      testing::HasSubstr("duplicate listen address 127.0.0.1:9"));
}

TEST_F(SettingsTest, ParseRequiredKeyMissingIsRefused) {
  EXPECT_THAT(ErrorOf("[a]\nwait=20ms\n"), testing::HasSubstr("missing"));
}

}  // namespace
}  // namespace hornbeamcleat
