#ifndef HORNBEAMCLEAT_SRC_STANDIN_FAKE_PLATFORM_H_
#define HORNBEAMCLEAT_SRC_STANDIN_FAKE_PLATFORM_H_

#include <memory>

#include "src/standin/log_store.h"
#include "src/standin/standin_loop.h"

namespace hornbeamcleat {

/// Settings of the platform's stand-in.
struct FakePlatformSettings {
  Retention retention;
  double appends_per_second = 500;         ///< calls above this rate get 503
  double weight_bytes_per_second = 200e6;  ///< shared by all downloads
  std::int64_t weight_bytes = 8 * 1024 * 1024;  ///< size unless asked for
  Duration vm_lag = std::chrono::seconds(2);    ///< age of the listed VMs

  bool operator==(const FakePlatformSettings&) const = default;
};

/// Stand-in for the platform: log streams, VM list and weight store, with
/// faults by POST /faults. See docs/PROTOCOLS.md.
std::unique_ptr<Standin> MakeFakePlatform(const FakePlatformSettings& settings);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_FAKE_PLATFORM_H_
