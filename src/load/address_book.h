#ifndef HORNBEAMCLEAT_SRC_LOAD_ADDRESS_BOOK_H_
#define HORNBEAMCLEAT_SRC_LOAD_ADDRESS_BOOK_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Addresses that callers use, as the system hands them out. The run stands
/// for many callers in all failure domains, so it takes them in turn.
class AddressBook {
 public:
  /// @param first addresses to begin with, IP:PORT
  explicit AddressBook(std::vector<std::string> first);

  /// Takes the answer of GET /v1/addresses.
  /// @return how long the list may be kept
  /// @throws Error with step "parse JSON"
  Duration Take(std::string_view json);

  /// Next address to use.
  const std::string& Next();

 private:
  std::vector<std::string> addresses_;
  std::size_t turn_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_LOAD_ADDRESS_BOOK_H_
