#ifndef HORNBEAMCLEAT_SRC_ENTRY_RESUME_HANDLE_H_
#define HORNBEAMCLEAT_SRC_ENTRY_RESUME_HANDLE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Data with which any entry can resume an answer. Sent to the caller in the
/// head of a streamed answer.
struct ResumeHandle {
  RequestId id;
  std::string address;  ///< of the target, IP:PORT
  std::string version;  ///< of the target
  std::string entry;    ///< that issued the handle, IP:PORT
  std::int64_t issued_unix_ms = 0;

  bool operator==(const ResumeHandle&) const = default;
};

/// Encodes `handle` for an HTTP header, signed by HMAC-SHA256 with `key`.
std::string SignHandle(const ResumeHandle& handle, std::string_view key);

/// Decodes and verifies the handle in `text`.
/// @param life maximum age of a handle at `now`
/// @throws Error with step "verify resume handle" if it is malformed, forged,
///   expired or issued in the future
ResumeHandle VerifyHandle(std::string_view text, std::string_view key,
                          WallTime now, Duration life);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_RESUME_HANDLE_H_
