#ifndef HORNBEAMCLEAT_SRC_ENTRY_ENTRY_OPTIONS_H_
#define HORNBEAMCLEAT_SRC_ENTRY_ENTRY_OPTIONS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat {

/// Settings of an entry daemon, typed.
struct EntryOptions {
  std::string name;              ///< unique among entries
  std::string failure_domain;    ///< the VM's own
  Address listen;                ///< callers' address
  Address listen_admin;          ///< health, metrics and explanations
  Address control;               ///< control daemon of this VM
  std::string handle_key;        ///< of resume handles, shared by all entries
  Duration handle_life{0};       ///< a resume handle is refused when older
  std::size_t max_body = 0;      ///< bytes
  std::size_t max_answer = 0;    ///< bytes of an answer of one part
  std::size_t max_open = 0;      ///< exchanges with callers
  std::size_t max_buffered = 0;  ///< bytes held for one slow caller
  std::size_t max_part = 0;      ///< bytes of one part
  Duration connect_timeout{0};   ///< to targets
  Duration load_period{0};       ///< between load reports of one target
  Duration cache_period{0};      ///< between reads of one target's cache events
  Duration propose_timeout{0};   ///< for an intent's decision
  Duration caller_grace{0};      ///< to come back before work is cancelled
  Duration addresses_life{0};    ///< callers may keep the address list for it
  SchedulerOptions scheduler;
};

/// Settings table of the entry daemon.
const std::vector<SettingRule>& EntrySettingRules();

/// Typed settings.
/// @throws Error with step "read settings"
EntryOptions MakeEntryOptions(const Settings& settings);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ENTRY_OPTIONS_H_
