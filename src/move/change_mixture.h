#ifndef HORNBEAMCLEAT_SRC_MOVE_CHANGE_MIXTURE_H_
#define HORNBEAMCLEAT_SRC_MOVE_CHANGE_MIXTURE_H_

#include <cstddef>
#include <vector>

namespace hornbeamcleat {

/// E-process for the null hypothesis "never worse": a mixture of likelihood
/// ratios over several alternatives and over the time at which the fault
/// begins. Under the null hypothesis it ever exceeds 1/a with probability a at
/// most, however often it is evaluated. Half of the weight is on a fault from
/// the start, the other half is spread evenly over kMaxStartPoints later times.
class ChangeMixture {
 public:
  static constexpr int kMaxStartPoints = 1000;

  /// @param alternatives number of equally weighted alternatives
  explicit ChangeMixture(std::size_t alternatives);

  /// Adds the current time as a possible start of a fault.
  void AddStartPoint();

  /// Adds one interval's log likelihood ratio for each alternative.
  void Add(const std::vector<double>& log_ratios);

  /// Natural logarithm of the e-value.
  double LogValue() const;

 private:
  std::vector<double> log_sums_;  ///< by alternative, without its weight
  int start_points_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_CHANGE_MIXTURE_H_
