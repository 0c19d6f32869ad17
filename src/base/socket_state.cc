#include "src/base/socket_state.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace hornbeamcleat {

std::size_t UnacknowledgedBytes(int fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

int TakeSocketError(int fd) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

}  // namespace hornbeamcleat
