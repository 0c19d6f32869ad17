#ifndef HORNBEAMCLEAT_SRC_BASE_SOCKET_ADDRESS_H_
#define HORNBEAMCLEAT_SRC_BASE_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include "hornbeamcleat/base/settings.h"

namespace hornbeamcleat {

/// Socket form of an IPv4 address.
/// @throws Error with step "parse address" if the IP number is not IPv4
sockaddr_in ToSocketAddress(const Address& address);

/// Address of a socket form.
Address FromSocketAddress(const sockaddr_in& address);

/// Address that `fd` is bound to, with the port that was picked.
Address BoundAddress(int fd);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_SOCKET_ADDRESS_H_
