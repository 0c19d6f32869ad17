#ifndef HORNBEAMCLEAT_SERVING_TARGET_STATEMENT_H_
#define HORNBEAMCLEAT_SERVING_TARGET_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

struct ServingTarget;

/// What a target states of itself in an answer, whatever it answers.
struct TargetStatement {
  bool is_leaving = false;  ///< it is going away for good
  /// It wants no further requests of this VM for this time; nullopt: not
  /// stated.
  std::optional<Duration> rest;
  bool has_invalid_rest = false;  ///< states a time that can't be read
  /// Requests per second that it takes of all VMs together, for as long as its
  /// answers say so; nullopt: not stated.
  std::optional<double> request_limit;
  bool has_invalid_limit = false;  ///< states a limit that can't be read
  /// How long it stays cold, in health responses; nullopt: not stated.
  std::optional<Duration> cold_remaining;

  bool IsEmpty() const { return *this == TargetStatement(); }

  bool operator==(const TargetStatement&) const = default;
};

/// One start of a target, the same on all VMs.
struct TargetInstance {
  std::uint64_t id = 0;            ///< hash of the target's ID
  std::int64_t start_time_ms = 0;  ///< Unix time; 0 if the target states none

  static TargetInstance Of(const ServingTarget& target);

  bool operator==(const TargetInstance&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, start_time_ms);
  }
};

/// What a VM tells its peers of a target's statements.
struct TargetNotice {
  TargetInstance target;
  bool is_leaving = false;
  std::uint32_t rest_ms = 0;  ///< time left of the rest that it asked for

  bool operator==(const TargetNotice&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, is_leaving, rest_ms);
  }
};

/// What a VM tells its peers of a target's limit on requests.
struct LimitNotice {
  TargetInstance target;
  bool has_ended = false;    ///< answers state no limit any more
  float per_second = 0;      ///< requests of all VMs together
  std::uint32_t age_ms = 0;  ///< since the latest statement, or since the end

  bool operator==(const LimitNotice&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, has_ended, per_second, age_ms);
  }
};

/// What a VM tells its peers of a target that is or may be cold.
struct ColdNotice {
  enum Loss : std::uint8_t {
    kNoLoss,
    kSuspected,  ///< one connection was lost, while others may go on
    kLost,       ///< the target has stopped
  };

  TargetInstance target;
  std::uint32_t cold_ms = 0;        ///< time left, by records
  std::uint32_t record_age_ms = 0;  ///< since the VM read the latest one
  std::uint8_t loss = kNoLoss;
  std::uint32_t loss_age_ms = 0;
  bool has_answer = false;  ///< it has answered completely since the loss
  std::uint32_t answer_age_ms = 0;  ///< of the first such answer
  /// Time for which one process was alive without a break; 0: not known.
  std::uint32_t alive_span_ms = 0;
  std::uint32_t alive_age_ms = 0;  ///< of its end

  bool operator==(const ColdNotice&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, cold_ms, record_age_ms, loss, loss_age_ms, has_answer,
            answer_age_ms, alive_span_ms, alive_age_ms);
  }
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_TARGET_STATEMENT_H_
