#ifndef HORNBEAMCLEAT_SRC_RELAY_HEADER_LIST_H_
#define HORNBEAMCLEAT_SRC_RELAY_HEADER_LIST_H_

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamcleat {

/// Header field as received or sent.
struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

using HeaderList = std::vector<HeaderField>;

/// Whether two header names are equal, ignoring case.
bool HeaderNamesEqual(std::string_view a, std::string_view b);

/// Value of the first field named `name`, or nullptr.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

/// Number of fields named `name`.
int CountHeader(const HeaderList& headers, std::string_view name);

/// Whether a comma-separated value, such as that of Connection, contains
/// `token`.
bool HasListToken(std::string_view value, std::string_view token);

/// End-to-end fields: all but the hop-by-hop fields, which are standard or
/// named by the Connection header, and Content-Length.
HeaderList EndToEndHeaders(const HeaderList& headers);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_HEADER_LIST_H_
