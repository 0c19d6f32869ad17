#ifndef HORNBEAMCLEAT_SRC_ENTRY_PROBLEM_H_
#define HORNBEAMCLEAT_SRC_ENTRY_PROBLEM_H_

#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/action.h"
#include "src/link/link_message.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// HTTP status of a refusal.
int ProblemStatus(const RefuseAction& refusal);

/// Text of a refusal as application/problem+json.
/// @param entries others to try instead; left out if empty
std::string FormatProblem(const RefuseAction& refusal,
                          const std::vector<EntryAddress>& entries);

/// Whole answer that carries a refusal.
CallerAnswer MakeProblemAnswer(const RefuseAction& refusal,
                               const std::vector<EntryAddress>& entries);

/// Text of the address list.
/// @param life time for which callers may keep it
std::string FormatAddresses(const std::vector<EntryAddress>& entries,
                            Duration life);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_PROBLEM_H_
