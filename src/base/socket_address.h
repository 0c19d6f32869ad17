#ifndef HORNBEAMCLEAT_SRC_BASE_SOCKET_ADDRESS_H_
#define HORNBEAMCLEAT_SRC_BASE_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include "hornbeamcleat/base/settings.h"

namespace hornbeamcleat {

/// Converts an IPv4 address to a socket address.
/// @throws Error with step "parse address" if it is not an IPv4 address
sockaddr_in ToSocketAddress(const Address& address);

/// Converts a socket address to an Address.
Address FromSocketAddress(const sockaddr_in& address);

/// Local address of `fd`, including the port that the kernel assigned.
Address BoundAddress(int fd);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_BASE_SOCKET_ADDRESS_H_
