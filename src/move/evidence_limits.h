#ifndef HORNBEAMCLEAT_SRC_MOVE_EVIDENCE_LIMITS_H_
#define HORNBEAMCLEAT_SRC_MOVE_EVIDENCE_LIMITS_H_

namespace hornbeamcleat {

/// Maximum probability that one move withdraws a version that is no worse than
/// the old one, over all tests and all evaluations.
inline constexpr double kFalsePositiveRate = 0.005;

/// Maximum probability that one evaluation accepts a version on a route where
/// it is worse by the move's bound.
inline constexpr double kMissRate = 0.05;

/// Log likelihood ratio from which a version is accepted as good.
inline constexpr double kLogGoodEnough = 2.9957;  // ln(1 / kMissRate)

/// Upper bound of that log likelihood ratio, so that a late fault can lower it.
inline constexpr double kMaxLogGood = 1.5 * kLogGoodEnough;

/// Log e-value from which growth pauses without a withdrawal.
inline constexpr double kLogSuspect = 2.9957;  // ln(20)

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_EVIDENCE_LIMITS_H_
