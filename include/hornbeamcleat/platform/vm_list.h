#ifndef HORNBEAMCLEAT_PLATFORM_VM_LIST_H_
#define HORNBEAMCLEAT_PLATFORM_VM_LIST_H_

#include <string>
#include <vector>

namespace hornbeamcleat {

/// VM as listed by the platform. The list may be stale, so this is only a hint.
struct VmEntry {
  std::string name;
  std::string ip;
  std::string failure_domain;
  bool leaving = false;  ///< a planned shutdown has been announced

  bool operator==(const VmEntry&) const = default;
};

/// The platform's list of running VMs and of those shutting down. Calls block.
class VmList {
 public:
  virtual ~VmList() = default;

  /// Returns the current list; throws Error if the platform is unreachable.
  virtual std::vector<VmEntry> Get() = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_PLATFORM_VM_LIST_H_
