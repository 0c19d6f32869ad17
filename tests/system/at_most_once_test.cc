#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "src/base/json.h"
#include "tests/system/http_call.h"
#include "tests/system/small_system.h"

namespace hornbeamcleat {
namespace {

constexpr int kVms = 3;
constexpr int kKeys = 200;
constexpr int kCallers = 8;
constexpr int kAttempts = 3;
constexpr int kMaxCalls = 100;
constexpr std::chrono::milliseconds kBackOff(50);
constexpr std::size_t kMaxJson = 4 * 1024 * 1024;

class AtMostOnceTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(system_.Begin()); }

  // Sends one key until three attempts were answered, each through the next VM,
  // whatever came of it before.
  void SendKey(int key) {
    int answered = 0;
    for (int n = 0; n < kMaxCalls && answered < kAttempts; ++n) {
      const HttpAnswer answer =
          CallHttp("POST", system_.CallerUrl((key + n) % kVms) + "/v1/book",
                   {{"Workspace", "w"},
                    {"Application", "book"},
                    {"Idempotency-Key", fmt::format("key-{}", key)}},
                   R"({"boat":1})");
      if (answer.status == 0) {
        std::this_thread::sleep_for(kBackOff);  // the entry is being replaced
        continue;
      }
      ++answered;
      Note(answer);
    }
  }

  void Note(const HttpAnswer& answer) {
    const auto id = answer.headers.find("request-id");
    if (answer.body.find(R"("outcome":"not_run")") != std::string::npos &&
        id != answer.headers.end()) {
      const std::lock_guard<std::mutex> lock(mutex_);
      not_run_.insert(id->second);
    }
  }

  void SendAll() {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this] {
        for (int key = next_key_++; key < kKeys; key = next_key_++) {
          SendKey(key);
        }
      });
    }
    DisturbUntilDone();
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  // Kills one entry after the other while keys are sent.
  void DisturbUntilDone() {
    for (int vm = 0; next_key_ < kKeys; vm = (vm + 1) % kVms) {
      const int seen = next_key_;
      while (next_key_ < std::min(seen + kKeys / 8, kKeys)) {
        std::this_thread::yield();
      }
      system_.Entry(vm)->Kill();
      system_.StartEntry(vm);
    }
  }

  static std::map<std::string, int> Counts(
      const cxxtools::SerializationInfo& executions, const std::string& name) {
    std::map<std::string, int> out;
    for (const cxxtools::SerializationInfo& entry :
         executions.getMember(name)) {
      entry.getValue(out[entry.name()]);
    }
    return out;
  }

  SmallSystem system_{kVms};
  std::atomic<int> next_key_{0};
  std::mutex mutex_;
  std::set<std::string> not_run_;  // request ids that were answered so
};

TEST_F(AtMostOnceTest, ResentKeysWhileEntriesDieAndLogAnswersAreLostRunOnce) {
  ASSERT_EQ(CallHttp("POST", system_.PlatformUrl() + "/faults", {},
                     R"({"loseAnswerEvery":7})")
                .status,
            200);
  SendAll();
  const cxxtools::SerializationInfo executions =
      ParseJson(GetHttp(system_.ServiceUrl() + "/executions").body, kMaxJson);
  const std::map<std::string, int> by_key = Counts(executions, "byKey");
  const std::map<std::string, int> by_request =
      Counts(executions, "byRequestId");
  for (const auto& [key, n] : by_key) {
    EXPECT_EQ(n, 1) << key;
  }
  for (const std::string& id : not_run_) {
    EXPECT_FALSE(by_request.contains(id)) << id;
  }
  // The promise must not be kept by running nothing.
  EXPECT_GE(by_key.size(), kKeys / 2);
}

}  // namespace
}  // namespace hornbeamcleat
