#ifndef HORNBEAMCLEAT_SRC_SERVING_LOAD_REPORTS_H_
#define HORNBEAMCLEAT_SRC_SERVING_LOAD_REPORTS_H_

#include <cstdint>
#include <optional>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/target_load_report.h"

namespace hornbeamcleat {

/// What one start of a target reports of its load, to this VM and its near
/// peers.
///
/// Load pattern: a target works 2.5 times as slowly for 600 ms at a time, 15%
/// of the time and independently of the others. The learned slowness is a mean
/// over seconds and follows only after the target is fast again.
///
/// Second load pattern: with more than 16 VMs, those of other failure domains
/// report their load once per second, while a plain request takes 60 ms. At the
/// time of a report, what the target states minus the load known from this VM
/// and its near peers is the load of others.
///
/// The work time is used relative to its mean, so that a target that always
/// states the same figure is treated as one that states none. The figure loses
/// its influence while measured answers contradict it. Times are on the
/// suspension-aware clock. The state has a fixed size.
class LoadReports {
 public:
  /// Records a report received by this VM.
  /// @param known requests at the target from this VM and its near peers
  /// @param slots of the target by its record
  void OnReport(const TargetLoadReport& report, int known, int slots, Time now);

  /// Records a report that a near peer received. Older reports than the known
  /// one, and those beyond kMaxAge, are ignored.
  /// @param peer hash of the peer's address
  /// @return whether it was recorded
  bool OnForwarded(const ForwardedLoadReport& report, std::uint32_t peer,
                   Time now);

  /// Compares the reported work time with a measured answer.
  /// @param slowness of the answer, relative to the learned slowness
  void OnMeasured(double slowness, Time now);

  /// Returns how long work takes now, relative to the target's mean. Decays
  /// towards 1 with the age of the report.
  double WorkTime(Time now) const;

  /// The target refused a request as full. If it had stated less load, its
  /// statements of load are ignored for kDistrustTime.
  void OnRefusedAsFull(Time now);

  /// Returns the requests at the target that are neither this VM's nor its near
  /// peers', or nullopt if no recent report tells.
  std::optional<int> Others(Time now) const;

  /// Mean time between two reports, at most kMaxAge.
  Duration Interval() const { return interval_; }

  /// Whether this start of the target has reported its load.
  bool HasReport() const { return made_at_ != Time(); }

  /// Returns the latest report if this VM received it within kForwardTime.
  /// @param start identifies the start of the target
  std::optional<ForwardedLoadReport> ToForward(std::uint16_t start,
                                               Time now) const;

  /// Age beyond which a report says nothing of the present.
  static constexpr Duration kMaxAge = std::chrono::seconds(1);
  /// Time for which a report is repeated to peers, in case a message is lost:
  /// three messages to a failure domain of 34 VMs.
  static constexpr Duration kForwardTime = std::chrono::milliseconds(60);
  /// Time for which false statements of load are ignored.
  static constexpr Duration kDistrustTime = std::chrono::seconds(5);

 private:
  void SetMadeAt(Time made_at);
  void SetWorkTime(double stated, Time made_at);
  /// The work time as the target states it, whether or not answers confirm it.
  double StatedWorkTime(Time now) const;

  Time made_at_;            ///< of the latest report
  std::uint32_t peer_ = 0;  ///< that received it; 0: this VM
  Duration interval_ = kMaxAge;
  std::optional<int> others_;  ///< at the time of the latest report
  bool stated_full_ = false;   ///< by the latest report to this VM
  Time stated_at_;             ///< of the latest report to this VM
  Time distrusted_until_;
  double work_time_ = 0;  ///< as stated, clamped; 0: none
  Time work_time_at_;
  double mean_work_time_ = 1;
  Duration mean_time_{0};  ///< that the mean covers
  /// Share of the recent answers that the work time predicted better than the
  /// mean does.
  double trust_ = 1;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_LOAD_REPORTS_H_
