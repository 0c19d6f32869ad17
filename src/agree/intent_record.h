#ifndef HORNBEAMCLEAT_SRC_AGREE_INTENT_RECORD_H_
#define HORNBEAMCLEAT_SRC_AGREE_INTENT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Attempt as it stands in the log.
struct IntentAttempt {
  std::uint64_t number = 0;  ///< unique within the entry's incarnation
  RequestId id;
  std::string key;

  bool operator==(const IntentAttempt&) const = default;
};

/// Statement that an attempt of the record's entry never ran and never will.
struct IntentRelease {
  std::uint64_t number = 0;
  std::string key;

  bool operator==(const IntentRelease&) const = default;
};

/// Record of the intent stream. Releases take effect before attempts.
struct IntentRecord {
  std::string entry;
  std::vector<IntentRelease> releases;
  std::vector<IntentAttempt> attempts;

  bool operator==(const IntentRecord&) const = default;
};

/// JSON text; unknown members are ignored, so that old builds read new records.
std::string EncodeIntent(const IntentRecord& record);

/// @throws Error with step "decode" on malformed or oversized input
IntentRecord DecodeIntent(std::string_view bytes);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_AGREE_INTENT_RECORD_H_
