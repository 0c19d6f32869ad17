#ifndef HORNBEAMCLEAT_SRC_SERVING_SHARED_RATE_H_
#define HORNBEAMCLEAT_SRC_SERVING_SHARED_RATE_H_

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Position of a VM among those that share something, as that VM sees it.
struct VmShare {
  bool takes_part = false;  ///< counts among those below
  int rank = 0;             ///< in rendezvous order, among the VMs heard
  int heard = 1;            ///< VMs that are heard and take requests
  int registered = 1;       ///< all VMs, whether heard or not
  int overall_rank = 0;     ///< in rendezvous order, among all VMs anywhere
  int overall = 1;          ///< all VMs anywhere

  bool operator==(const VmShare&) const = default;
};

/// Part of one VM in a number of requests that all VMs together may send
/// beyond what they earn, such as saved retries. Whole parts for as many VMs as
/// there are requests, the first ones in rendezvous order.
/// @param min_part a VM's part unless the sum of all exceeds the total
double WholePartOf(double total, double min_part, const VmShare& share);

/// Part of one VM in a rate of requests that is shared by many VMs without a
/// coordinator.
///
/// Load pattern: a target takes fewer requests per second from all VMs together
/// than there are VMs, while VMs start, end and are cut off from each other. A
/// share for each VM would be useless or, rounded up, too much. So only as many
/// VMs hold a turn as the rate has whole requests per second, the first ones in
/// rendezvous order, and each of them spaces its requests evenly. The part of
/// VMs that aren't heard is set aside, since they may be using it: groups of
/// VMs that don't hear each other stay within the rate together.
class SharedRate {
 public:
  /// Lower rates are raised to this one, so that somebody asks at times.
  static constexpr double kMinPerSecond = 0.25;

  /// Sets the rate of all VMs together.
  void SetTotal(double per_second, Time now);
  void SetShare(const VmShare& share, Time now);

  /// Returns when this VM may send the next request, or Time::max() if it
  /// holds no turn.
  Time OpensAt() const;

  /// Records a request.
  void OnSent(Time now);

  /// Requests per second of this VM; 0 if it holds no turn.
  double PerSecond() const { return per_second_; }

 private:
  void Update(Time now);
  Duration Interval() const { return FromSeconds(1 / per_second_); }

  double total_ = 0;
  VmShare share_;
  double per_second_ = 0;
  /// Theoretical time of the next request, as in the generic cell rate
  /// algorithm. Requests may come half an interval before it.
  Time next_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_SHARED_RATE_H_
