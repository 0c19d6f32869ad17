#ifndef HORNBEAMCLEAT_SRC_BASE_SOCKET_STATE_H_
#define HORNBEAMCLEAT_SRC_BASE_SOCKET_STATE_H_

#include <cstddef>

namespace hornbeamcleat {

/// Sent bytes of a TCP socket that the peer's system has not acknowledged. 0 if
/// the system doesn't tell.
std::size_t UnacknowledgedBytes(int fd);

/// Takes the pending error of a socket as an errno value; 0 if there is none.
int TakeSocketError(int fd);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_SOCKET_STATE_H_
