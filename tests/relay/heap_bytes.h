#ifndef HORNBEAMCLEAT_TESTS_RELAY_HEAP_BYTES_H_
#define HORNBEAMCLEAT_TESTS_RELAY_HEAP_BYTES_H_

#include <malloc.h>

#include <cstddef>

namespace hornbeamcleat {

/// Bytes that the process has allocated, with those that the C library maps on
/// their own.
inline std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_RELAY_HEAP_BYTES_H_
