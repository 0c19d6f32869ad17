#ifndef HORNBEAMCLEAT_SRC_ENTRY_ENTRY_OPTIONS_H_
#define HORNBEAMCLEAT_SRC_ENTRY_ENTRY_OPTIONS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat {

/// Typed settings of an entry daemon.
struct EntryOptions {
  std::string name;            ///< unique among entries
  std::string failure_domain;  ///< of this VM
  Address listen;              ///< address for callers
  Address listen_admin;        ///< address for health, metrics and explanations
  Address control;             ///< address of the control daemon of this VM
  std::string handle_key;    ///< signs resume handles; the same at all entries
  Duration handle_life{0};   ///< maximum age of a resume handle
  std::size_t max_body = 0;  ///< bytes
  std::size_t max_answer = 0;    ///< bytes of a non-streaming answer
  std::size_t max_open = 0;      ///< open exchanges with callers
  std::size_t max_buffered = 0;  ///< bytes buffered per caller
  std::size_t max_part = 0;      ///< bytes of a part of a streamed answer
  Duration connect_timeout{0};   ///< to targets
  Duration load_period{0};       ///< between reads of a target's load
  Duration cache_period{0};      ///< between reads of a target's cache events
  Duration propose_timeout{0};   ///< for the decision on an intent
  Duration caller_grace{0};      ///< to resume before the work is cancelled
  Duration addresses_life{0};    ///< time to live of the address list
  SchedulerOptions scheduler;
};

/// Rules of the entry daemon's settings.
const std::vector<SettingRule>& EntrySettingRules();

/// Converts `settings` to typed options.
/// @throws Error with step "read settings"
EntryOptions MakeEntryOptions(const Settings& settings);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_ENTRY_OPTIONS_H_
