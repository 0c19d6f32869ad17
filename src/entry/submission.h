#ifndef HORNBEAMCLEAT_SRC_ENTRY_SUBMISSION_H_
#define HORNBEAMCLEAT_SRC_ENTRY_SUBMISSION_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// Makes request ids that are unique over all entries: 128 random bits each.
class RequestIdSource {
 public:
  RequestIdSource();

  RequestId Next();

 private:
  std::mt19937_64 random_;
};

/// Whether `id` may name a request: 1 to 64 letters, digits, '.', '_' or '-'.
bool IsRequestId(std::string_view id);

/// Whether `path` may be sent to a target as it is.
bool IsPlainPath(std::string_view path);

/// What the scheduler needs of a submit, but for what its body says.
/// @param id given to the request if the caller gave none
/// @throws Error with step "read request" if a header is missing or malformed
RequestSpec ReadSubmission(const CallerRequest& request, const RequestId& id,
                           Time now);

/// Adds the prompt's size and blocks and the stated length of the answer, if
/// `body` is JSON that has them. Takes about 70 microseconds for each KiB.
void ReadBody(const std::string& body, RequestSpec* spec);

/// Chained hashes of the whole 64-byte blocks of `prompt`.
std::vector<std::uint64_t> PrefixBlocks(std::string_view prompt);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_SUBMISSION_H_
