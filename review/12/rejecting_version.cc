// The new version rejects a part of the requests with 400, which the old one
// answers with success.

#include "review/move-3.h"

namespace {

constexpr double kRejectedPart = 0.4;

}  // namespace

int main(int argc, char** argv) {
  review3::MoveCase::Options options;
  options.new_answer = [](int, double part) {
    return review3::Answer{part < kRejectedPart ? 400 : 200};
  };
  options.bad_answer_s = options.work_ms / 1'000.0;
  return review3::RunMoveCase(options, argc, argv);
}
