#ifndef HORNBEAMCLEAT_SRC_RELAY_HEADER_LIST_H_
#define HORNBEAMCLEAT_SRC_RELAY_HEADER_LIST_H_

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamcleat {

/// One header field as it stood on the wire.
struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

using HeaderList = std::vector<HeaderField>;

/// Whether two header names are the same; case doesn't count.
bool HeaderNamesEqual(std::string_view a, std::string_view b);

/// Value of the first field called `name`, or nullptr.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

/// Number of fields called `name`.
int CountHeader(const HeaderList& headers, std::string_view name);

/// Whether a comma-separated value, such as Connection's, holds `token`.
bool HasListToken(std::string_view value, std::string_view token);

/// Fields that a proxy passes on: without those that concern one connection,
/// named here or by the Connection header, and without the body's framing.
HeaderList EndToEndHeaders(const HeaderList& headers);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_HEADER_LIST_H_
