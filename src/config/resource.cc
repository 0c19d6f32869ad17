#include "hornbeamcleat/config/resource.h"

#include <algorithm>
#include <iterator>

namespace hornbeamcleat {
namespace {

struct KindNamer {
  const char* operator()(const WorkspaceSpec&) const { return "Workspace"; }
  const char* operator()(const TierSpec&) const { return "Tier"; }
  const char* operator()(const TargetSpec&) const { return "Target"; }
  const char* operator()(const VersionSpec&) const { return "Version"; }
  const char* operator()(const MoveSpec&) const { return "Move"; }
};

}  // namespace

const char* KindName(const ResourceSpec& spec) {
  return std::visit(KindNamer{}, spec);
}

bool IsKnownKind(const std::string& kind) {
  const ResourceSpec specs[] = {WorkspaceSpec{}, TierSpec{}, TargetSpec{},
                                VersionSpec{}, MoveSpec{}};
  return std::any_of(
      std::begin(specs), std::end(specs),
      [&kind](const ResourceSpec& spec) { return kind == KindName(spec); });
}

}  // namespace hornbeamcleat
