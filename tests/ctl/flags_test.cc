#include "src/ctl/flags.h"

#include <gtest/gtest.h>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

class FlagsTest : public testing::Test {
 protected:
  FlagsTest() : flags_("program", "Does things.", "KIND") {
    flags_.Add("wait", &wait_, "Longest wait.");
    flags_.Add("file", &files_, "File to read.", 'f');
    flags_.Add("json", &json_, "Print JSON.");
  }

  Flags::Next Parse(std::vector<std::string> words) {
    words.insert(words.begin(), "program");
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& word : words) {
      argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    return flags_.Parse(static_cast<int>(words.size()), argv.data());
  }

  Flags flags_;
  Duration wait_ = std::chrono::seconds(1);
  std::vector<std::string> files_;
  bool json_ = false;
};

TEST_F(FlagsTest, OptionsAmongOperandsAreAllTaken) {
  EXPECT_EQ(Parse({"get", "-f", "a", "--file", "b", "--json", "tier"}),
            Flags::Next::kRun);
  EXPECT_EQ(files_, (std::vector<std::string>{"a", "b"}));
  EXPECT_TRUE(json_);
  EXPECT_EQ(flags_.Operands(), (std::vector<std::string>{"get", "tier"}));
}

TEST_F(FlagsTest, DurationWithoutUnitIsRefused) {
  EXPECT_THROW(Parse({"--wait", "5"}), Error);
  Parse({"--wait", "1.5s"});
  EXPECT_EQ(wait_, std::chrono::milliseconds(1500));
}

TEST_F(FlagsTest, UnknownOptionIsRefused) {
  EXPECT_THROW(Parse({"--colour"}), Error);
}

TEST_F(FlagsTest, HelpListsEveryOption) {
  const std::string help = flags_.Help();
  for (const char* name : {"--wait", "--file", "--json", "--version"}) {
    EXPECT_NE(help.find(name), std::string::npos) << name;
  }
}

}  // namespace
}  // namespace hornbeamcleat
