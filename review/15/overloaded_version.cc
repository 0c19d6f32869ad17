// Replicas of the new version fail a part of the requests that they begin under
// load. They serve a canary's part of the traffic well.

#include "review/move-3.h"

namespace {

constexpr double kFailedPart = 0.4;
/// Requests that run on a replica, the new one included.
constexpr int kLoaded = 5;

}  // namespace

int main(int argc, char** argv) {
  review3::MoveCase::Options options;
  options.per_second = 200;
  options.new_answer = [](int running, double part) {
    return review3::Answer{running >= kLoaded && part < kFailedPart ? 500
                                                                    : 200};
  };
  options.bad_answer_s = options.work_ms / 1'000.0;
  return review3::RunMoveCase(options, argc, argv);
}
