#ifndef HORNBEAMCLEAT_SRC_ENTRY_RESUME_HANDLE_H_
#define HORNBEAMCLEAT_SRC_ENTRY_RESUME_HANDLE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Where an answer can be resumed. Given to the caller with the first bytes,
/// so that any entry can resume it.
struct ResumeHandle {
  RequestId id;
  std::string address;  ///< of the target, IP:PORT
  std::string version;  ///< of the target
  std::string entry;    ///< that gave it, IP:PORT
  std::int64_t issued_unix_ms = 0;

  bool operator==(const ResumeHandle&) const = default;
};

/// Text of `handle` for a header, authenticated by HMAC-SHA256 with `key`.
std::string SealHandle(const ResumeHandle& handle, std::string_view key);

/// Handle of `text`.
/// @param life handles issued longer before `now` are refused
/// @throws Error with step "open resume handle" if it is malformed, forged or
///   too old
ResumeHandle OpenHandle(std::string_view text, std::string_view key,
                        WallTime now, Duration life);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_RESUME_HANDLE_H_
