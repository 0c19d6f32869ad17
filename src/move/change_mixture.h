#ifndef HORNBEAMCLEAT_SRC_MOVE_CHANGE_MIXTURE_H_
#define HORNBEAMCLEAT_SRC_MOVE_CHANGE_MIXTURE_H_

#include <cstddef>
#include <vector>

namespace hornbeamcleat {

/// E-process against "never worse": a mixture of likelihood ratios over several
/// alternatives and over the instant at which the fault may begin. Under the
/// null hypothesis it passes 1/a with probability a at most, however often it
/// is looked at. Half of the weight is on a fault from the start, the other
/// half is spread evenly over kMaxStartPoints later instants.
class ChangeMixture {
 public:
  static constexpr int kMaxStartPoints = 1000;

  /// @param alternatives number of alternatives, of equal weight
  explicit ChangeMixture(std::size_t alternatives);

  /// Lets a fault begin now, as one more start point.
  void AddStartPoint();

  /// Adds the logarithm of one interval's likelihood ratio for each
  /// alternative.
  void Add(const std::vector<double>& log_ratios);

  /// Natural logarithm of the e-value.
  double LogValue() const;

 private:
  std::vector<double> log_sums_;  ///< by alternative, its weight left out
  int start_points_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MOVE_CHANGE_MIXTURE_H_
