#ifndef HORNBEAMCLEAT_PLATFORM_VM_LIST_H_
#define HORNBEAMCLEAT_PLATFORM_VM_LIST_H_

#include <string>
#include <vector>

namespace hornbeamcleat {

/// VM as the platform lists it; the list lags, so this is a hint.
struct VmEntry {
  std::string name;
  std::string ip;
  std::string failure_domain;
  bool leaving = false;  ///< a planned stop has been announced

  bool operator==(const VmEntry&) const = default;
};

/// The platform's list of live and leaving VMs. Calls block.
class VmList {
 public:
  virtual ~VmList() = default;

  /// Current list; throws Error if the platform can't be reached.
  virtual std::vector<VmEntry> Get() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_PLATFORM_VM_LIST_H_
