#ifndef HORNBEAMCLEAT_SRC_MOVE_EVIDENCE_LIMITS_H_
#define HORNBEAMCLEAT_SRC_MOVE_EVIDENCE_LIMITS_H_

namespace hornbeamcleat {

/// Probability that one move withdraws a version that is no worse than the old
/// one, over all tests and all looks.
inline constexpr double kFalsePositiveRate = 0.005;

/// Probability that a version worse by the move's bound is held for good on a
/// route at one look.
inline constexpr double kMissRate = 0.05;

/// Logarithm of the likelihood ratio from which a version counts as good.
inline constexpr double kLogGoodEnough = 2.9957;  // ln(1 / kMissRate)

/// Bound on that logarithm.
inline constexpr double kMaxLogGood = 1.5 * kLogGoodEnough;

/// Logarithm of an e-value from which growth waits, though it proves nothing.
inline constexpr double kLogSuspect = 2.9957;  // ln(20)

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_EVIDENCE_LIMITS_H_
