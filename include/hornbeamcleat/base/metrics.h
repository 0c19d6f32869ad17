#ifndef HORNBEAMCLEAT_BASE_METRICS_H_
#define HORNBEAMCLEAT_BASE_METRICS_H_

#include <memory>
#include <string>
#include <vector>

namespace hornbeamcleat {

/// Counters, gauges and histograms of one process, exposed in Prometheus text
/// format. Thread-safe. Label values must come from a bounded set, because each
/// value creates a time series.
class Metrics {
 public:
  static std::unique_ptr<Metrics> Make();

  virtual ~Metrics() = default;

  /// Adds 1 to counter `name` with one label, e.g. ("refusals_total",
  /// "reason", "deadline").
  void Count(const std::string& name, const std::string& label,
             const std::string& value) {
    Add(name, label, value, 1);
  }

  /// Adds `n` (>= 0) to counter `name` with one label.
  virtual void Add(const std::string& name, const std::string& label,
                   const std::string& value, double n) = 0;

  /// Sets gauge `name` with one label.
  virtual void Set(const std::string& name, const std::string& label,
                   const std::string& value, double level) = 0;

  /// Records a duration in seconds in histogram `name` with one label.
  virtual void Observe(const std::string& name, const std::string& label,
                       const std::string& value, double seconds) = 0;

  /// Returns all metrics in the Prometheus text exposition format.
  virtual std::string Expose() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_BASE_METRICS_H_
