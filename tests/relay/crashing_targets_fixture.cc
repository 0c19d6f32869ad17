#include "tests/relay/crashing_targets_fixture.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "src/base/socket_address.h"

namespace hornbeamcleat {

void CrashingTargetsFixture::StartCrashingTargets(int count,
                                                  const std::string& bytes) {
  ++generation_;
  targets_.clear();
  specs_.clear();
  for (int i = 0; i < count; ++i) {
    ScriptedTarget* target = AddTarget([](const ReceivedRequest&) {});
    target->SetScript([target, bytes](const ReceivedRequest& request) {
      Crash(target, request, bytes);
    });
  }
}

ScriptedTarget* CrashingTargetsFixture::AddTarget(
    ScriptedTarget::Script script) {
  targets_.push_back(
      std::make_unique<ScriptedTarget>(loop_.get(), std::move(script)));
  specs_.push_back(Spec(fmt::format("g{}-t{}", generation_, specs_.size()),
                        *targets_.back()));
  specs_.back().slots = 1;
  relay_->SetTargets(specs_);
  return targets_.back().get();
}

void CrashingTargetsFixture::KeepTargets(int count, const IsDeadly& is_deadly) {
  for (std::size_t i = 0; i < targets_.size();) {
    const auto crashed =
        std::find(crashed_.begin(), crashed_.end(), targets_[i].get());
    if (crashed == crashed_.end()) {
      ++i;
      continue;
    }
    crashed_.erase(crashed);
    targets_.erase(targets_.begin() + static_cast<std::ptrdiff_t>(i));
    specs_.erase(specs_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  while (static_cast<int>(targets_.size()) < count) {
    ++generation_;
    ScriptedTarget* target = AddTarget([](const ReceivedRequest&) {});
    specs_.back().slots = kTargetSlots;
    target->SetScript(
        [this, target, is_deadly](const ReceivedRequest& request) {
          const std::string id = request.Header("Request-Id");
          std::string head = kStreamHead;
          head.replace(head.find("r1"), 2, id);
          if (is_deadly(request)) {
            Crash(target, request, head + kFirstEvent);
            crashed_.push_back(target);
            ++crashes_;
          } else {
            request.stream->Write(head + kFirstEvent + kStreamLastChunk);
          }
        });
  }
  relay_->SetTargets(specs_);
}

void CrashingTargetsFixture::AnswerSoundRequest(const std::string& kind,
                                                const std::string& body) {
  ++generation_;
  targets_.clear();
  specs_.clear();
  AddTarget([](const ReceivedRequest& request) {
    request.stream->Write(std::string(kStreamHead) + kFirstEvent +
                          kStreamLastChunk);
  });
  const std::unique_ptr<TestCaller> caller =
      SendRequest(Request(kind, "r1", "", std::string(body.size(), 's')));
  ASSERT_NE(caller->Response(), nullptr);
  EXPECT_EQ(caller->Response()->Head().status, 200);
}

void CrashingTargetsFixture::Crash(ScriptedTarget* target,
                                   const ReceivedRequest& request,
                                   const std::string& bytes) {
  request.stream->Write(bytes);
  request.stream->FinishWriting();
  target->StopListening();
}

int CrashingTargetsFixture::RequestCount() const {
  int n = 0;
  for (const std::unique_ptr<ScriptedTarget>& target : targets_) {
    n += target->RequestCount();
  }
  return n;
}

}  // namespace hornbeamcleat
