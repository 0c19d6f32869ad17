#ifndef HORNBEAMCLEAT_TESTS_NET_SOCKET_PEER_H_
#define HORNBEAMCLEAT_TESTS_NET_SOCKET_PEER_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "src/net/file_descriptor.h"

namespace hornbeamcleat {

/// Longest wait of a test for anything; only a failing test reaches it.
inline constexpr std::chrono::seconds kTestPatience(20);

/// Loopback address with port 0.
inline Address AnyPort() { return Address{"127.0.0.1", 0}; }

/// Blocking TCP connection of a test.
class SocketPeer {
 public:
  explicit SocketPeer(int fd) : fd_(fd) {
    const timeval patience{kTestPatience.count(), 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
  }

  static SocketPeer Connect(const Address& address) {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
    SocketPeer peer(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    (void)connect(peer.Fd(), reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
    return peer;
  }

  int Fd() const { return fd_.Get(); }

  void Send(std::string_view bytes) const { TrySend(bytes); }

  /// Sends all bytes; false if the connection has ended.
  bool TrySend(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t n = send(Fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }

  /// Reads until `end` was received; the bytes up to and with it. Less if the
  /// connection ends before.
  std::string ReadUntil(std::string_view end) {
    std::size_t at = 0;
    while ((at = received_.find(end)) == std::string::npos) {
      if (!Receive()) {
        return std::exchange(received_, "");
      }
    }
    std::string taken = received_.substr(0, at + end.size());
    received_.erase(0, taken.size());
    return taken;
  }

  std::string ReadExactly(std::size_t n) {
    while (received_.size() < n && Receive()) {
    }
    std::string taken = received_.substr(0, n);
    received_.erase(0, taken.size());
    return taken;
  }

  std::string ReadToEnd() {
    while (Receive()) {
    }
    return std::exchange(received_, "");
  }

  /// Closes with a reset instead of an orderly end.
  void Reset() {
    const linger hard{1, 0};
    setsockopt(Fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    fd_.Reset();
  }

  void Close() { fd_.Reset(); }

  /// Wakes a thread that is blocked on this connection.
  void Shutdown() const { shutdown(Fd(), SHUT_RDWR); }

 private:
  bool Receive() {
    std::array<char, 16 * 1024> chunk;
    const ssize_t n = recv(Fd(), chunk.data(), chunk.size(), 0);
    if (n <= 0) {
      return false;
    }
    received_.append(chunk.data(), static_cast<std::size_t>(n));
    return true;
  }

  FileDescriptor fd_;
  std::string received_;
};

/// Listener on loopback that runs `serve` on a thread for each connection.
class SocketServer {
 public:
  using Serve = std::function<void(SocketPeer&)>;

  explicit SocketServer(Serve serve) : serve_(std::move(serve)) {
    listener_ = FileDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(listener_.Get(), reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
    listen(listener_.Get(), SOMAXCONN);
    socklen_t n = sizeof(raw);
    getsockname(listener_.Get(), reinterpret_cast<sockaddr*>(&raw), &n);
    address_ = Address{"127.0.0.1", ntohs(raw.sin_port)};
    thread_ = std::thread([this] { Accept(); });
  }

  SocketServer(const SocketServer&) = delete;
  SocketServer& operator=(const SocketServer&) = delete;

  ~SocketServer() {
    shutdown(listener_.Get(), SHUT_RDWR);
    thread_.join();
    for (const int fd : Open()) {
      shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& thread : workers_) {
      thread.join();
    }
  }

  const Address& Listening() const { return address_; }

 private:
  void Accept() {
    int fd = 0;
    while ((fd = accept4(listener_.Get(), nullptr, nullptr, SOCK_CLOEXEC)) >=
           0) {
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.push_back(fd);
      workers_.emplace_back([this, fd] { Work(fd); });
    }
  }

  void Work(int fd) {
    SocketPeer peer(fd);
    serve_(peer);
    const std::lock_guard<std::mutex> lock(mutex_);
    std::erase(open_, fd);
  }

  std::vector<int> Open() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return open_;
  }

  Serve serve_;
  FileDescriptor listener_;
  Address address_;
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> workers_;
  std::thread thread_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_NET_SOCKET_PEER_H_
