#ifndef HORNBEAMCLEAT_SRC_CONTROL_VIEW_BUILDER_H_
#define HORNBEAMCLEAT_SRC_CONTROL_VIEW_BUILDER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/member/membership.h"
#include "hornbeamcleat/move/version_share.h"
#include "hornbeamcleat/platform/vm_list.h"
#include "src/control/entry_fact.h"
#include "src/link/link_message.h"

namespace hornbeamcleat {

/// Inputs of BuildViewMessage.
struct ViewInputs {
  std::shared_ptr<const ConfigState> config;
  std::string self;  ///< name of this member
  std::vector<Member> members;
  std::map<std::string, EntryFact> entries;       ///< by member name
  std::map<std::string, SequencedLosses> losses;  ///< by member name
  /// Versions withdrawn by gossip or in the log.
  std::set<std::pair<std::string, std::string>> withdrawn;
  std::map<std::string, VersionShare> move_shares;  ///< by model
  std::vector<VmEntry> vms;
  bool log_available = false;
};

/// Builds the message that updates the entry's view. Has no side effects.
ViewMessage BuildViewMessage(const ViewInputs& inputs);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_VIEW_BUILDER_H_
