#ifndef HORNBEAMCLEAT_SRC_STANDIN_FAKE_PLATFORM_H_
#define HORNBEAMCLEAT_SRC_STANDIN_FAKE_PLATFORM_H_

#include <memory>

#include "src/standin/log_store.h"
#include "src/standin/standin_loop.h"

namespace hornbeamcleat {

/// Settings of the fake platform.
struct FakePlatformSettings {
  Retention retention;
  double appends_per_second = 500;              ///< calls above it get 503
  double weight_bytes_per_second = 200e6;       ///< shared by all downloads
  std::int64_t weight_bytes = 8 * 1024 * 1024;  ///< default size
  Duration vm_lag = std::chrono::seconds(2);    ///< age of the listed VMs

  bool operator==(const FakePlatformSettings&) const = default;
};

/// Creates a fake platform with log streams, a VM list and a weight store.
/// POST /faults injects faults. See docs/PROTOCOLS.md.
std::unique_ptr<Standin> MakeFakePlatform(const FakePlatformSettings& settings);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_FAKE_PLATFORM_H_
