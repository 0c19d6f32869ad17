#include "src/relay/byte_stream.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

#include "hornbeamcleat/base/clock.h"
#include "src/base/poll_loop.h"
#include "src/net/file_descriptor.h"
#include "tests/relay/heap_bytes.h"

namespace hornbeamcleat {
namespace {

/// Stream to a socket that the test reads by itself.
class ByteStreamTest : public testing::Test {
 protected:
  ByteStreamTest() {
    int fds[2] = {-1, -1};
    EXPECT_EQ(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds),
        0);
    const int buffer_bytes = 16'384;
    setsockopt(fds[0], SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    peer_ = FileDescriptor(fds[1]);
    stream_ = ByteStream::Accepted(loop_.get(), FileDescriptor(fds[0]),
                                   std::chrono::seconds(5));
  }

  /// Reads up to `size` bytes at the peer, and returns them.
  std::string ReadAtPeer(std::size_t size) const {
    std::string bytes(size, '\0');
    const ssize_t n = recv(peer_.Get(), bytes.data(), size, 0);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    return bytes;
  }

  std::unique_ptr<Clock> clock_ = Clock::Make();
  std::unique_ptr<PollLoop> loop_ = PollLoop::Make(clock_.get());
  FileDescriptor peer_;
  std::unique_ptr<ByteStream> stream_;
};

// Guards against a stream that keeps all that it has sent, for as long as its
// peer is a little behind.
TEST_F(ByteStreamTest, StreamThatIsNeverDrainedKeepsOnlyUnsentBytes) {
  constexpr std::size_t kUnsent = 100'000;
  constexpr std::size_t kTotal = std::size_t{32} << 20;
  const std::size_t before = HeapBytes();
  std::size_t most = before;
  std::size_t written = 0;
  std::size_t received = 0;
  while (received < kTotal) {
    while (stream_->Unsent() < kUnsent) {
      std::string block(10'000, '\0');
      for (char& c : block) {
        c = static_cast<char>(written++ % 251);
      }
      stream_->Write(block);
    }
    for (const char c : ReadAtPeer(20'000)) {
      ASSERT_EQ(c, static_cast<char>(received++ % 251));
    }
    loop_->RunOnce(Duration(0));
    ASSERT_GT(stream_->Unsent(), 0U);
    most = std::max(most, HeapBytes());
  }
  EXPECT_LT(most - before, 10 * kUnsent);
}

// Guards against kept connections that each hold a buffer as large as the
// largest response that they have carried.
TEST_F(ByteStreamTest, DrainedStreamKeepsNoLargeBuffer) {
  const std::size_t before = HeapBytes();
  stream_->Write(std::string(std::size_t{8} << 20, 'x'));
  while (stream_->Unsent() > 0) {
    ReadAtPeer(65'536);
    loop_->RunOnce(Duration(0));
  }
  EXPECT_LT(HeapBytes(), before + 100'000);
}

}  // namespace
}  // namespace hornbeamcleat
