// The new version's streams begin as soon as those of the old one, but their
// events come several times slower.

#include "review/move-3.h"

namespace {

constexpr int kFirstEventMs = 40;
constexpr int kEvents = 10;
/// Between two events, in the old and in the new version. The route declares
/// `gap_target_ms` 250.
constexpr int kPauseMs = 40;
constexpr int kSlowPauseMs = 300;

}  // namespace

int main(int argc, char** argv) {
  review3::MoveCase::Options options;
  options.route_type = "streaming";
  options.timeout_ms = 15'000;
  options.target_latency_ms = 400;
  options.gap_target_ms = 250;
  options.per_second = 60;
  options.replicas = 6;
  options.slots = 40;
  options.work_ms = kFirstEventMs;
  options.events = kEvents;
  options.pause_ms = kPauseMs;
  options.new_pause_ms = kSlowPauseMs;
  options.bad_answer_s =
      (kFirstEventMs + (kEvents - 1) * kSlowPauseMs) / 1'000.0;
  return review3::RunMoveCase(options, argc, argv);
}
