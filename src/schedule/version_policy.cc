#include "src/schedule/version_policy.h"

#include <utility>
#include <variant>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {

void VersionPolicy::SetView(std::shared_ptr<const ClusterView> view) {
  view_ = std::move(view);
  not_started_.clear();
  if (view_->config == nullptr) {
    return;
  }
  const ResourceKey first("Move", "");
  const auto& resources = view_->config->resources;
  for (auto it = resources.lower_bound(first);
       it != resources.end() && it->first.first == "Move"; ++it) {
    const MoveSpec* move = std::get_if<MoveSpec>(&it->second.spec);
    if (move == nullptr || view_->shares.contains(move->model)) {
      continue;
    }
    const auto progress = view_->config->moves.find(it->first.second);
    if (progress == view_->config->moves.end() ||
        progress->second.phase != "Done") {
      not_started_[move->model] = move->to_version;
    }
  }
}

bool VersionPolicy::PrefersNewVersion(const std::string& model,
                                      const RequestId& id) const {
  const VersionShare* share = Share(model);
  if (share == nullptr ||
      view_->withdrawn.contains(std::make_pair(model, share->to_version))) {
    return false;
  }
  return ChoosesNewVersion(*share, Hash64(id));
}

void VersionPolicy::SetMoveFlags(TargetState* target) const {
  const auto it = not_started_.find(target->spec.model);
  target->awaits_move =
      it != not_started_.end() && it->second == target->spec.version;
  const VersionShare* share = Share(target->spec.model);
  target->runs_new_version =
      share != nullptr && share->to_version == target->spec.version;
}

int VersionPolicy::MaxInFlightOnNewVersion(const std::string& model) const {
  const VersionShare* share = Share(model);
  return share == nullptr ? 0 : share->max_in_flight;
}

const VersionShare* VersionPolicy::Share(const std::string& model) const {
  if (view_ == nullptr) {
    return nullptr;
  }
  const auto it = view_->shares.find(model);
  return it == view_->shares.end() ? nullptr : &it->second;
}

}  // namespace hornbeamcleat
