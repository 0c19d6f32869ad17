// The new version's streams begin as soon as those of the old one, but the
// events of a part of them come several times slower, so that clients leave.

#include "review/move-3.h"

namespace {

constexpr int kFirstEventMs = 40;
constexpr int kEvents = 5;
/// Between two events, in the old and in the new version.
constexpr int kPauseMs = 240;
constexpr double kSlowPart = 0.4;
constexpr int kSlowPauseMs = 2'100;
constexpr int kGapTargetMs = 250;
/// "a gap of two seconds, four times the objective or eight times that pause,
/// whichever is longest"
constexpr double kGapS = 2;

}  // namespace

int main(int argc, char** argv) {
  review3::MoveCase::Options options;
  options.route_type = "streaming";
  options.timeout_ms = 15'000;
  options.target_latency_ms = 400;
  options.gap_target_ms = kGapTargetMs;
  options.gap_s = kGapS;
  options.per_second = 60;
  options.replicas = 6;
  options.slots = 40;
  options.work_ms = kFirstEventMs;
  options.events = kEvents;
  options.pause_ms = kPauseMs;
  options.new_answer = [](int, double part) {
    return review3::Answer{200, part < kSlowPart ? kSlowPauseMs : 0};
  };
  options.bad_answer_s = kFirstEventMs / 1'000.0 + kGapS;
  return review3::RunMoveCase(options, argc, argv);
}
