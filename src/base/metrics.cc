#include "hornbeamcleat/base/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace hornbeamcleat {
namespace {

// Upper bounds, from a tenth of the first-part target to one minute.
const prometheus::Histogram::BucketBoundaries kBucketSeconds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,  0.25,
    0.5,   0.74,   1.0,   2.5,  5.0,   10.0, 30.0, 60.0};

class RegistryMetrics : public Metrics {
 public:
  void Add(const std::string& name, const std::string& label,
           const std::string& value, double n) override {
    CounterFamily(name).Add({{label, value}}).Increment(n);
  }

  void Set(const std::string& name, const std::string& label,
           const std::string& value, double level) override {
    GaugeFamily(name).Add({{label, value}}).Set(level);
  }

  void Observe(const std::string& name, const std::string& label,
               const std::string& value, double seconds) override {
    HistogramFamily(name)
        .Add({{label, value}}, kBucketSeconds)
        .Observe(seconds);
  }

  std::string Expose() const override {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  // InsertBehavior::Merge makes the registry return the existing family of a
  // name.
  prometheus::Family<prometheus::Counter>& CounterFamily(
      const std::string& name) {
    return prometheus::BuildCounter()
        .Name(PrefixedName(name))
        .Register(registry_);
  }
  prometheus::Family<prometheus::Gauge>& GaugeFamily(const std::string& name) {
    return prometheus::BuildGauge()
        .Name(PrefixedName(name))
        .Register(registry_);
  }
  prometheus::Family<prometheus::Histogram>& HistogramFamily(
      const std::string& name) {
    return prometheus::BuildHistogram()
        .Name(PrefixedName(name))
        .Register(registry_);
  }

  static std::string PrefixedName(const std::string& name) {
    return "hornbeamcleat_" + name;
  }

  prometheus::Registry registry_{prometheus::Registry::InsertBehavior::Merge};
};

}  // namespace

std::unique_ptr<Metrics> Metrics::Make() {
  return std::make_unique<RegistryMetrics>();
}

}  // namespace hornbeamcleat
