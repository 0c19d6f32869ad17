#ifndef HORNBEAMCLEAT_TESTS_ENTRY_HTTP_PEER_H_
#define HORNBEAMCLEAT_TESTS_ENTRY_HTTP_PEER_H_

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <utility>

#include "tests/net/socket_peer.h"

namespace hornbeamcleat {

/// Head of an HTTP message; header names in lower case.
struct HttpHead {
  std::string first_line;
  std::map<std::string, std::string> headers;

  /// Status code of an answer; 0 if the first line has none.
  int Status() const {
    const std::size_t space = first_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(&first_line[space + 1]);
  }

  std::string Get(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

inline HttpHead ReadHead(SocketPeer* peer) {
  std::istringstream text(peer->ReadUntil("\r\n\r\n"));
  HttpHead head;
  std::getline(text, head.first_line);
  std::string line;
  while (std::getline(text, line) && line.size() > 1) {
    const std::size_t colon = line.find(": ");
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    head.headers[name] = line.substr(colon + 2, line.size() - colon - 2 - 1);
  }
  return head;
}

/// Reads a body that has a Content-Length.
inline std::string ReadBody(SocketPeer* peer, const HttpHead& head) {
  return peer->ReadExactly(
      std::strtoul(head.Get("content-length").c_str(), nullptr, 10));
}

/// Reads the next chunk of a chunked body; empty at its end.
inline std::string ReadChunk(SocketPeer* peer) {
  const std::string size = peer->ReadUntil("\r\n");
  const std::size_t n = std::strtoul(size.c_str(), nullptr, 16);
  std::string chunk = peer->ReadExactly(n);
  peer->ReadExactly(2);
  return chunk;
}

/// Reads a chunked body until its end or the end of the connection.
inline std::string ReadChunks(SocketPeer* peer) {
  std::string body;
  std::string chunk;
  while (!(chunk = ReadChunk(peer)).empty()) {
    body += chunk;
  }
  return body;
}

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_ENTRY_HTTP_PEER_H_
