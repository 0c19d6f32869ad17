#ifndef HORNBEAMCLEAT_AGREE_KEY_DATE_H_
#define HORNBEAMCLEAT_AGREE_KEY_DATE_H_

#include <optional>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Key as the intents know it: the caller's key and a hash of its route, so
/// that two workspaces never share one.
std::string ScopedKey(std::string_view key, std::string_view workspace,
                      std::string_view application);

/// Date of issue that an idempotency key carries: that of a UUID version 7
/// (RFC 9562), or a prefix of 13 digits, Unix time in milliseconds, followed by
/// '-'. Nothing for any other key. Takes scoped keys too.
std::optional<WallTime> KeyDate(std::string_view key);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_AGREE_KEY_DATE_H_
