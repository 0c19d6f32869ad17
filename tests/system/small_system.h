#ifndef HORNBEAMCLEAT_TESTS_SYSTEM_SMALL_SYSTEM_H_
#define HORNBEAMCLEAT_TESTS_SYSTEM_SMALL_SYSTEM_H_

#include <memory>
#include <string>
#include <vector>

#include "tests/system/child_process.h"

namespace hornbeamcleat {

/// Real processes on loopback: the stand-in platform, some VMs with their two
/// daemons, two engines and a plain service.
class SmallSystem {
 public:
  /// @param vms number of VMs
  /// @param cut_off index of a VM that can't reach the platform; -1 for none
  explicit SmallSystem(int vms, int cut_off = -1);
  ~SmallSystem();

  SmallSystem(const SmallSystem&) = delete;
  SmallSystem& operator=(const SmallSystem&) = delete;

  /// Declares a tier, a workspace and the targets, and waits until each entry
  /// is ready. @return false if it did not come about
  bool Begin();

  void StartControl(int vm);
  void StartEntry(int vm);
  ChildProcess* Control(int vm) { return control_[vm].get(); }
  ChildProcess* Entry(int vm) { return entry_[vm].get(); }
  ChildProcess* Engine(int i) { return engines_[i].get(); }

  std::string CallerUrl(int vm) const;  ///< "http://IP:PORT" of an entry
  std::string AdminUrl(int vm) const;   ///< of an entry's admin server
  std::string ApiUrl(int vm) const;     ///< of an operators' API
  std::string PlatformUrl() const;
  std::string EngineUrl(int i) const;
  std::string ServiceUrl() const;
  int Vms() const { return static_cast<int>(control_.size()); }

  /// Puts a resource through the API of `vm`; returns the HTTP status.
  int Put(int vm, const std::string& kind, const std::string& name,
          const std::string& spec, std::uint64_t version = 0) const;

  /// Revision in force at a VM by its own word; 0 if it does not answer.
  std::uint64_t Revision(int vm) const;

 private:
  struct Ports {
    int gossip, link, caller, admin, api;
  };

  void WriteSettings(int vm) const;
  std::string Path(const std::string& name) const;

  std::string directory_;
  std::string platform_address_;
  std::string service_address_;
  std::vector<std::string> engine_addresses_;
  std::vector<Ports> ports_;
  int cut_off_;
  std::unique_ptr<ChildProcess> platform_;
  std::unique_ptr<ChildProcess> service_;
  std::vector<std::unique_ptr<ChildProcess>> engines_;
  std::vector<std::unique_ptr<ChildProcess>> control_;
  std::vector<std::unique_ptr<ChildProcess>> entry_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_SYSTEM_SMALL_SYSTEM_H_
