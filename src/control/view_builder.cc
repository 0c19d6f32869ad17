#include "src/control/view_builder.h"

#include <algorithm>

#include "hornbeamcleat/base/settings.h"

namespace hornbeamcleat {
namespace {

constexpr int kPermille = 1'000;

// Members whose entries share the targets, sorted by name. Suspected members
// are included, because their entries may still use their share.
std::vector<const Member*> MembersSharingTargets(const ViewInputs& inputs) {
  std::vector<const Member*> out;
  for (const Member& member : inputs.members) {
    const std::map<std::string, EntryFact>::const_iterator it =
        inputs.entries.find(member.name);
    const bool serving = it != inputs.entries.end() && it->second.serving;
    const bool present = member.state == MemberState::kAlive ||
                         member.state == MemberState::kSuspect;
    if (member.name == inputs.self || (present && serving)) {
      out.push_back(&member);
    }
  }
  std::sort(out.begin(), out.end(),
            [](const Member* a, const Member* b) { return a->name < b->name; });
  return out;
}

std::vector<EntryAddress> EntryAddresses(const ViewInputs& inputs) {
  std::vector<EntryAddress> out;
  for (const Member& member : inputs.members) {
    const std::map<std::string, EntryFact>::const_iterator it =
        inputs.entries.find(member.name);
    if (member.state != MemberState::kAlive || it == inputs.entries.end() ||
        !it->second.serving) {
      continue;
    }
    out.push_back({member.name, member.caller_url, member.failure_domain,
                   it->second.load_permille});
  }
  return out;
}

// A model without a move is served by a single version, so that a newly
// declared version gets no traffic.
std::map<std::string, VersionShare> VersionShares(const ViewInputs& inputs) {
  std::map<std::string, VersionShare> out;
  for (const auto& [model, version] : inputs.config->serving) {
    out[model] = {model, version, version, kPermille, 0};
  }
  for (const auto& [model, share] : inputs.move_shares) {
    out[model] = share;
  }
  return out;
}

std::set<TargetName> LeavingTargets(const ViewInputs& inputs) {
  std::set<std::string> leaving_ips;
  for (const VmEntry& vm : inputs.vms) {
    if (vm.leaving) {
      leaving_ips.insert(vm.ip);
    }
  }
  std::set<TargetName> out;
  for (const auto& [key, resource] : inputs.config->resources) {
    const TargetSpec* target = std::get_if<TargetSpec>(&resource.spec);
    if (target != nullptr &&
        leaving_ips.contains(Address::Parse(target->address).ip)) {
      out.insert(resource.name);
    }
  }
  return out;
}

std::map<std::string, int> DemandShares(const ViewInputs& inputs) {
  std::map<std::string, std::int64_t> total;
  for (const auto& [name, fact] : inputs.entries) {
    for (const auto& [model, demand] : fact.demand_milli) {
      total[model] += demand;
    }
  }
  std::map<std::string, int> out;
  const std::map<std::string, EntryFact>::const_iterator own =
      inputs.entries.find(inputs.self);
  if (own == inputs.entries.end()) {
    return out;
  }
  for (const auto& [model, demand] : own->second.demand_milli) {
    if (total[model] > 0) {
      out[model] =
          static_cast<int>(std::int64_t{demand} * kPermille / total[model]);
    }
  }
  return out;
}

void AddPeerFacts(const ViewInputs& inputs, ClusterView* view) {
  for (const auto& [name, fact] : inputs.entries) {
    if (name == inputs.self) {
      continue;
    }
    for (const auto& [model, rank] : fact.closed_rank) {
      const std::map<std::string, int>::iterator it =
          view->peer_closed_rank.emplace(model, rank).first;
      it->second = std::min(it->second, rank);
    }
  }
}

}  // namespace

ViewMessage BuildViewMessage(const ViewInputs& inputs) {
  ViewMessage out;
  out.log_available = inputs.log_available;
  out.entries = EntryAddresses(inputs);
  ClusterView& view = out.view;
  const std::vector<const Member*> sharing = MembersSharingTargets(inputs);
  view.entry_count = std::max<int>(1, static_cast<int>(sharing.size()));
  for (std::size_t i = 0; i < sharing.size(); ++i) {
    if (sharing[i]->name == inputs.self) {
      view.entry_index = static_cast<int>(i);
    }
  }
  AddPeerFacts(inputs, &view);
  view.peer_losses = inputs.losses;
  view.peer_losses.erase(inputs.self);
  if (inputs.config == nullptr) {
    return out;
  }
  view.config = inputs.config;
  view.shares = VersionShares(inputs);
  view.withdrawn = inputs.withdrawn;
  for (const auto& [key, reason] : inputs.config->withdrawn) {
    view.withdrawn.insert(key);
  }
  view.leaving = LeavingTargets(inputs);
  view.demand_permille_by_model = DemandShares(inputs);
  return out;
}

}  // namespace hornbeamcleat
