#ifndef HORNBEAMCLEAT_SRC_NET_FILE_DESCRIPTOR_H_
#define HORNBEAMCLEAT_SRC_NET_FILE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace hornbeamcleat {

/// Owner of a file descriptor; -1 means none.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor() { Reset(); }

  int Get() const { return fd_; }

  /// Closes the descriptor.
  void Reset() {
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }

 private:
  int fd_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_NET_FILE_DESCRIPTOR_H_
