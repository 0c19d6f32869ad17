#ifndef HORNBEAMCLEAT_SRC_BASE_CXXTOOLS_COMPAT_H_
#define HORNBEAMCLEAT_SRC_BASE_CXXTOOLS_COMPAT_H_

#include <cstddef>
#include <memory>
#include <new>
#include <type_traits>

/// cxxtools 3.0 uses members of std::allocator that C++20 removed. The build
/// force-includes this file first, so that the cxxtools headers compile.
namespace cxxtools {
class Char;
}  // namespace cxxtools

template <>
class std::allocator<cxxtools::Char> {
 public:
  using value_type = cxxtools::Char;
  using size_type = std::size_t;
  using difference_type = std::ptrdiff_t;
  using pointer = cxxtools::Char*;
  using const_pointer = const cxxtools::Char*;
  using reference = cxxtools::Char&;
  using const_reference = const cxxtools::Char&;
  using propagate_on_container_move_assignment = std::true_type;
  using is_always_equal = std::true_type;

  constexpr allocator() noexcept = default;
  template <typename U>
  // NOLINTNEXTLINE(google-explicit-constructor): required of allocators
  constexpr allocator(const std::allocator<U>&) noexcept {}

  // A template, so that sizeof is evaluated once the element type is complete.
  template <typename Size, typename Element = value_type>
  pointer allocate(Size n) {  // NOLINT(readability-identifier-naming)
    return static_cast<pointer>(::operator new(n * sizeof(Element)));
  }
  void deallocate(pointer p,  // NOLINT(readability-identifier-naming)
                  std::size_t) {
    ::operator delete(p);
  }

  friend constexpr bool operator==(const allocator&,
                                   const allocator&) noexcept {
    return true;
  }
};

#endif  // HORNBEAMCLEAT_SRC_BASE_CXXTOOLS_COMPAT_H_
