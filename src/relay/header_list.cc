#include "src/relay/header_list.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace hornbeamcleat {
namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Content-Length",
    "Proxy-Connection"};

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

bool HeaderNamesEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* FindHeader(const HeaderList& headers,
                              std::string_view name) {
  for (const HeaderField& field : headers) {
    if (HeaderNamesEqual(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

int CountHeader(const HeaderList& headers, std::string_view name) {
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(), [&](const HeaderField& field) {
        return HeaderNamesEqual(field.name, name);
      }));
}

bool HasListToken(std::string_view value, std::string_view token) {
  while (!value.empty()) {
    const std::size_t comma = std::min(value.find(','), value.size());
    if (HeaderNamesEqual(Trim(value.substr(0, comma)), token)) {
      return true;
    }
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
  return false;
}

HeaderList EndToEndHeaders(const HeaderList& headers) {
  // Connection fields are collected once: thousands of short fields compared
  // with each other would take tens of milliseconds.
  std::vector<const HeaderField*> connection_fields;
  for (const HeaderField& field : headers) {
    if (HeaderNamesEqual(field.name, "Connection")) {
      connection_fields.push_back(&field);
    }
  }
  HeaderList kept;
  for (const HeaderField& field : headers) {
    const bool is_named =
        std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                    [&](std::string_view name) {
                      return HeaderNamesEqual(name, field.name);
                    });
    const bool is_nominated =
        std::any_of(connection_fields.begin(), connection_fields.end(),
                    [&](const HeaderField* connection) {
                      return HasListToken(connection->value, field.name);
                    });
    if (!is_named && !is_nominated) {
      kept.push_back(field);
    }
  }
  return kept;
}

}  // namespace hornbeamcleat
