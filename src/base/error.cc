#include "hornbeamcleat/base/error.h"

#include <fmt/format.h>

#include <utility>

namespace hornbeamcleat {
namespace {

std::string Describe(const std::string& step, const std::string& peer,
                     const std::string& cause) {
  if (peer.empty()) {
    return fmt::format("{}: {}", step, cause);
  }
  return fmt::format("{} with {}: {}", step, peer, cause);
}

}  // namespace

Error::Error(std::string step, std::string peer, const std::string& cause)
    : std::runtime_error(Describe(step, peer, cause)),
      step_(std::move(step)),
      peer_(std::move(peer)) {}

}  // namespace hornbeamcleat
