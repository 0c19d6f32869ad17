#ifndef HORNBEAMCLEAT_SRC_PLATFORM_HTTP_PLATFORM_H_
#define HORNBEAMCLEAT_SRC_PLATFORM_HTTP_PLATFORM_H_

#include <memory>

#include "hornbeamcleat/base/settings.h"
#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/platform/log_service.h"
#include "hornbeamcleat/platform/vm_list.h"

namespace hornbeamcleat {

/// Log service spoken to over HTTP as docs/PROTOCOLS.md has it. One object for
/// each thread that uses it.
/// @param timeout longest wait for an answer, on top of a read's own wait
std::unique_ptr<LogService> MakeHttpLogService(const Address& platform,
                                               Duration timeout);

/// VM list of the same platform.
std::unique_ptr<VmList> MakeHttpVmList(const Address& platform,
                                       Duration timeout);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_PLATFORM_HTTP_PLATFORM_H_
