#ifndef HORNBEAMCLEAT_TESTS_RELAY_CRASHING_TARGETS_FIXTURE_H_
#define HORNBEAMCLEAT_TESTS_RELAY_CRASHING_TARGETS_FIXTURE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/serving/serving_source.h"
#include "tests/relay/relay_fixture.h"

namespace hornbeamcleat {

/// Head and first event of a chunked stream that responds to request "r1".
inline constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: sig\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline constexpr char kFirstEvent[] = "f\r\nid: 1\ndata: a\n\n\r\n";
inline constexpr char kStreamLastChunk[] = "0\r\n\r\n";

/// Targets that crash while they run some requests.
class CrashingTargetsFixture : public RelayFixture {
 protected:
  using IsDeadly = std::function<bool(const ReceivedRequest&)>;

  /// Replaces all targets by new ones that crash when they have sent `bytes` of
  /// a response.
  void StartCrashingTargets(int count, const std::string& bytes);

  /// Adds a target with one slot.
  ScriptedTarget* AddTarget(ScriptedTarget::Script script);

  /// Replaces targets that have crashed, up to `count` in all. They answer
  /// requests completely but crash after the first event of those that are
  /// deadly.
  void KeepTargets(int count, const IsDeadly& is_deadly);

  /// Replaces all targets by one that answers a request with another body of
  /// the same size, so that nothing but the content is left as the cause of
  /// losses.
  void AnswerSoundRequest(const std::string& kind, const std::string& body);

  /// Ends a target when it has sent `bytes` of a response.
  static void Crash(ScriptedTarget* target, const ReceivedRequest& request,
                    const std::string& bytes);

  /// Requests that the current targets have received.
  int RequestCount() const;

  std::vector<std::unique_ptr<ScriptedTarget>> targets_;
  std::vector<ServingTarget> specs_;
  int generation_ = 0;  ///< of the targets' ids
  int crashes_ = 0;     ///< of targets that KeepTargets has added

 private:
  std::vector<ScriptedTarget*> crashed_;  ///< not replaced yet
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_RELAY_CRASHING_TARGETS_FIXTURE_H_
