#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: sig\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kFirstEvent[] = "f\r\nid: 1\ndata: a\n\n\r\n";
constexpr char kCutEvent[] = "7\r\nid: 2\nd\r\n";

/// Requests whose content ends each target that runs it.
class CrashingContentTest : public RelayFixture {
 protected:
  /// Replaces all targets by new ones that crash when they have sent `bytes` of
  /// a response.
  void StartCrashingTargets(int count, const std::string& bytes) {
    ++generation_;
    targets_.clear();
    std::vector<ServingTarget> specs;
    for (int i = 0; i < count; ++i) {
      targets_.push_back(std::make_unique<ScriptedTarget>(
          loop_.get(), [](const ReceivedRequest&) {}));
      ScriptedTarget* target = targets_.back().get();
      target->SetScript([target, bytes](const ReceivedRequest& request) {
        request.stream->Write(bytes);
        request.stream->FinishWriting();
        target->StopListening();
      });
      specs.push_back(Spec(fmt::format("g{}-t{}", generation_, i), *target));
    }
    relay_->SetTargets(specs);
  }

  int RequestCount() const {
    int n = 0;
    for (const std::unique_ptr<ScriptedTarget>& target : targets_) {
      n += target->RequestCount();
    }
    return n;
  }

  std::vector<std::unique_ptr<ScriptedTarget>> targets_;
  int generation_ = 0;  ///< of the targets' ids
};

TEST_F(CrashingContentTest, ContentThatEndsTargetsIsRefusedAtAnyStage) {
  const std::string head = kStreamHead;
  for (const char* kind : {"stream", "resume", "unsafe", "safe"}) {
    for (const std::string& bytes : {std::string(), head, head + kFirstEvent,
                                     head + kFirstEvent + kCutEvent}) {
      StartCrashingTargets(8, bytes);
      for (int i = 0; i < 6; ++i) {
        SendRequest(Request(kind, "r1", "", kind + bytes));
      }
      EXPECT_EQ(RequestCount(), 2) << kind << " after " << bytes;
    }
  }
}

}  // namespace
}  // namespace hornbeamcleat
