#include "src/base/socket_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr) != 1) {
    throw Error("parse address", "",
                "'" + address.ip + "' is not an IPv4 address");
  }
  return out;
}

Address FromSocketAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(address.sin_port)};
}

Address BoundAddress(int fd) {
  sockaddr_in address{};
  socklen_t n = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  return FromSocketAddress(address);
}

}  // namespace hornbeamcleat
