#include "src/load/address_book.h"

#include <cstdint>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxAnswer = 1024 * 1024;  // bytes
constexpr std::int64_t kDefaultTtlMs = 1'000;
constexpr char kScheme[] = "http://";

std::string WithoutScheme(const std::string& url) {
  const std::string rest =
      url.starts_with(kScheme) ? url.substr(std::string(kScheme).size()) : url;
  return rest.substr(0, rest.find('/'));
}

}  // namespace

AddressBook::AddressBook(std::vector<std::string> first)
    : addresses_(std::move(first)) {
  if (addresses_.empty()) {
    throw Error("read addresses", "", "at least one is needed");
  }
}

Duration AddressBook::Take(std::string_view json) {
  const SerializationInfo value = ParseJson(json, kMaxAnswer);
  const SerializationInfo* entries = value.findMember("entries");
  std::vector<std::string> found;
  if (entries != nullptr) {
    for (const SerializationInfo& each : *entries) {
      found.push_back(
          WithoutScheme(RequiredJsonMember<std::string>(each, "url")));
    }
  }
  if (!found.empty()) {
    addresses_ = std::move(found);
  }
  return std::chrono::milliseconds(
      JsonMember<std::int64_t>(value, "ttlMs", kDefaultTtlMs));
}

const std::string& AddressBook::Next() {
  return addresses_[turn_++ % addresses_.size()];
}

}  // namespace hornbeamcleat
