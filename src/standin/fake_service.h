#ifndef HORNBEAMCLEAT_SRC_STANDIN_FAKE_SERVICE_H_
#define HORNBEAMCLEAT_SRC_STANDIN_FAKE_SERVICE_H_

#include <memory>
#include <string>

#include "src/standin/standin_loop.h"

namespace hornbeamcleat {

/// Settings of the plain services' stand-in.
struct FakeServiceSettings {
  Duration answer_time = std::chrono::milliseconds(20);
  std::string version = "v1";

  bool operator==(const FakeServiceSettings&) const = default;
};

/// Stand-in for a plain service: one answer for each POST. GET /executions
/// counts runs by key and by request id. Faults by POST /faults:
/// {"loseAnswerEvery":N,"silentEvery":N,"refuse":bool,"delayMs":N,
/// "leaving":bool}; a lost answer has run and its connection is closed, a
/// silent one has run and its connection stays open.
std::unique_ptr<Standin> MakeFakeService(const FakeServiceSettings& settings);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_FAKE_SERVICE_H_
