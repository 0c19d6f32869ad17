#ifndef HORNBEAMCLEAT_SRC_PLATFORM_HTTP_PLATFORM_H_
#define HORNBEAMCLEAT_SRC_PLATFORM_HTTP_PLATFORM_H_

#include <memory>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/platform/log_service.h"
#include "hornbeamcleat/platform/vm_list.h"

namespace hornbeamcleat {

/// Creates a log service client for the HTTP protocol in docs/PROTOCOLS.md. Not
/// thread-safe; each thread needs its own client.
/// @param timeout response timeout, in addition to the wait of a read
std::unique_ptr<LogService> MakeHttpLogService(const Address& platform,
                                               Duration timeout);

/// Creates a client for the platform's VM list.
std::unique_ptr<VmList> MakeHttpVmList(const Address& platform,
                                       Duration timeout);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_PLATFORM_HTTP_PLATFORM_H_
