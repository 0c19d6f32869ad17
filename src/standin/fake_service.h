#ifndef HORNBEAMCLEAT_SRC_STANDIN_FAKE_SERVICE_H_
#define HORNBEAMCLEAT_SRC_STANDIN_FAKE_SERVICE_H_

#include <memory>
#include <string>

#include "src/standin/standin_loop.h"

namespace hornbeamcleat {

/// Settings of the fake plain service.
struct FakeServiceSettings {
  Duration answer_time = std::chrono::milliseconds(20);
  std::string version = "v1";

  bool operator==(const FakeServiceSettings&) const = default;
};

/// Creates a fake plain service that answers each POST once. GET /executions
/// returns the number of executions by idempotency key and by request id.
/// POST /faults injects faults:
/// {"loseAnswerEvery":N,"silentEvery":N,"refuse":bool,"delayMs":N,
/// "leaving":bool}. "loseAnswerEvery" executes the request and closes the
/// connection without a response; "silentEvery" executes it and leaves the
/// connection open without a response.
std::unique_ptr<Standin> MakeFakeService(const FakeServiceSettings& settings);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_FAKE_SERVICE_H_
