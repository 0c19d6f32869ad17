#ifndef HORNBEAMCLEAT_AGREE_KEY_DATE_H_
#define HORNBEAMCLEAT_AGREE_KEY_DATE_H_

#include <optional>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Returns the caller's key with a hash of its route appended, so that the keys
/// of different workspaces and applications don't collide.
std::string ScopedKey(std::string_view key, std::string_view workspace,
                      std::string_view application);

/// Returns the date of issue encoded in an idempotency key, scoped or not: the
/// timestamp of a version 7 UUID (RFC 9562), or a prefix of 13 digits (Unix
/// time in milliseconds) followed by '-'. Returns nullopt for any other key.
std::optional<WallTime> KeyDate(std::string_view key);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_AGREE_KEY_DATE_H_
