#include "src/entry/resume_handle.h"

#include <gtest/gtest.h>

#include <random>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr int kFuzzInputs = 20'000;
constexpr std::chrono::hours kLife(1);

class ResumeHandleTest : public testing::Test {
 protected:
  ResumeHandle Verify(const std::string& text) const {
    return VerifyHandle(text, key_, now_, kLife);
  }

  std::string key_ = "a key that only tests use";
  WallTime now_{std::chrono::hours(500'000)};
  ResumeHandle handle_{"r1", "127.0.0.1:1", "v1", "127.0.0.1:2",
                       now_.time_since_epoch().count()};
  std::string text_ = SignHandle(handle_, key_);
};

TEST_F(ResumeHandleTest, VerifySignedHandleGivesSameHandle) {
  EXPECT_EQ(Verify(text_), handle_);
}

TEST_F(ResumeHandleTest, VerifyWithOtherKeyOrExpiredThrows) {
  key_ += "x";
  EXPECT_THROW(Verify(text_), Error);
  key_.pop_back();
  now_ += kLife + std::chrono::milliseconds(1);
  EXPECT_THROW(Verify(text_), Error);
}

TEST_F(ResumeHandleTest, VerifyAlteredTextThrows) {
  std::mt19937 random(20'262);
  for (int i = 0; i < kFuzzInputs; ++i) {
    std::string text = text_;
    switch (random() % 3) {
      case 0:
        text[random() % text.size()] = static_cast<char>(random());
        break;
      case 1:
        text.resize(random() % text.size());
        break;
      default:
        text.insert(random() % text.size(), 2, "0123456789ABCDEFxz"[i % 18]);
    }
    if (text != text_) {
      // A change of a hexadecimal digit's case leaves the handle valid.
      try {
        EXPECT_EQ(Verify(text), handle_) << text;
      } catch (const Error&) {
        continue;
      }
    }
  }
}

}  // namespace
}  // namespace hornbeamcleat
