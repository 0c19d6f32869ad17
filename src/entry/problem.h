#ifndef HORNBEAMCLEAT_SRC_ENTRY_PROBLEM_H_
#define HORNBEAMCLEAT_SRC_ENTRY_PROBLEM_H_

#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/action.h"
#include "src/link/link_message.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// HTTP status for a refusal.
int ProblemStatus(const RefuseAction& refusal);

/// Formats a refusal as application/problem+json.
/// @param entries that the caller can try instead; omitted if empty
std::string FormatProblem(const RefuseAction& refusal,
                          const std::vector<EntryAddress>& entries);

/// Makes the HTTP answer for a refusal.
CallerAnswer MakeProblemAnswer(const RefuseAction& refusal,
                               const std::vector<EntryAddress>& entries);

/// Formats the address list as JSON.
/// @param life time for which callers may cache it
std::string FormatAddresses(const std::vector<EntryAddress>& entries,
                            Duration life);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_PROBLEM_H_
