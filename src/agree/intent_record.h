#ifndef HORNBEAMCLEAT_SRC_AGREE_INTENT_RECORD_H_
#define HORNBEAMCLEAT_SRC_AGREE_INTENT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Attempt as recorded in the log.
struct IntentAttempt {
  std::uint64_t number = 0;  ///< unique within the entry's incarnation
  RequestId id;
  std::string key;

  bool operator==(const IntentAttempt&) const = default;
};

/// Frees the key of an attempt by the record's entry that will never run.
struct IntentRelease {
  std::uint64_t number = 0;
  std::string key;

  bool operator==(const IntentRelease&) const = default;
};

/// Record of the intent stream. Releases are applied before attempts.
struct IntentRecord {
  std::string entry;
  std::vector<IntentRelease> releases;
  std::vector<IntentAttempt> attempts;

  bool operator==(const IntentRecord&) const = default;
};

/// Returns JSON. Decoding ignores unknown members, so that older builds can
/// read the records of newer ones.
std::string EncodeIntent(const IntentRecord& record);

/// @throws Error with step "decode" on malformed or oversized input
IntentRecord DecodeIntent(std::string_view bytes);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_AGREE_INTENT_RECORD_H_
