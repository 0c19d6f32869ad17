#include "hornbeamcleat/config/resource.h"

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

}  // namespace hornbeamcleat
