#include "src/control/move_driver.h"

#include <optional>

#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/move/move_controller.h"

namespace hornbeamcleat {
namespace {

struct RunningMove {
  std::uint64_t resource_version = 0;
  std::unique_ptr<MoveController> controller;
  // Inputs of the last decision, which is reused until its next evaluation is
  // due.
  MoveState state;
  bool withdrawn = false;
  bool held_lease = false;
  std::uint64_t faults = 0;  // of the new version
  MoveDecision decision;
};

MoveState ReadMoveState(const ConfigState& config, const Resource& resource) {
  MoveState state;
  const std::map<std::string, MoveProgressRecord>::const_iterator it =
      config.moves.find(resource.name);
  if (it == config.moves.end()) {
    return state;
  }
  state.phase = ParseMovePhase(it->second.phase);
  state.share_permille = it->second.share_permille;
  state.step_since = it->second.since;
  state.reason = it->second.reason;
  return state;
}

bool IsFinished(const MoveState& state) {
  return state.phase == MovePhase::kDone ||
         state.phase == MovePhase::kRolledBack;
}

int CountDeclaredTargets(const ConfigState& config, const MoveSpec& spec) {
  int n = 0;
  for (const auto& [key, resource] : config.resources) {
    const TargetSpec* target = std::get_if<TargetSpec>(&resource.spec);
    if (target != nullptr && target->model == spec.model &&
        target->version == spec.to_version) {
      ++n;
    }
  }
  return n;
}

std::vector<VersionEvidence> SelectEvidence(
    const std::vector<VersionEvidence>& all, const MoveSpec& spec) {
  std::vector<VersionEvidence> out;
  for (const VersionEvidence& evidence : all) {
    if (evidence.model == spec.model &&
        (evidence.version == spec.from_version ||
         evidence.version == spec.to_version)) {
      out.push_back(evidence);
    }
  }
  return out;
}

std::uint64_t CountFaults(const std::vector<VersionEvidence>& all,
                          const MoveSpec& spec) {
  std::uint64_t faults = 0;
  for (const VersionEvidence& evidence : all) {
    if (evidence.model == spec.model && evidence.version == spec.to_version) {
      faults += evidence.faults;
    }
  }
  return faults;
}

class ControllerMoveDriver : public MoveDriver {
 public:
  explicit ControllerMoveDriver(std::uint64_t seed) : seed_(seed) {}

  MoveDriverOutput Decide(const MoveDriverInput& input) override {
    MoveDriverOutput out;
    std::set<std::string> present;
    for (const auto& [key, resource] : input.config->resources) {
      if (std::holds_alternative<MoveSpec>(resource.spec)) {
        present.insert(resource.name);
        DecideOne(input, resource, &out);
      }
    }
    std::erase_if(running_, [&](const auto& entry) {
      return !present.contains(entry.first);
    });
    return out;
  }

 private:
  void DecideOne(const MoveDriverInput& input, const Resource& resource,
                 MoveDriverOutput* out) {
    const MoveSpec& spec = std::get<MoveSpec>(resource.spec);
    const MoveState state = ReadMoveState(*input.config, resource);
    if (IsFinished(state)) {
      running_.erase(resource.name);
      return;
    }
    RunningMove* running = GetOrCreateMove(resource);
    const bool withdrawn =
        input.withdrawn.contains({spec.model, spec.to_version}) ||
        input.config->withdrawn.contains({spec.model, spec.to_version});
    const MoveDecision& decision =
        EvaluateMove(input, spec, state, withdrawn, running);
    VersionShare share = running->controller->Share(state);
    if (withdrawn || decision.withdraw) {
      share.share_permille = 0;
    }
    out->shares[spec.model] = share;
    if (decision.withdraw && !withdrawn) {
      log_.Warning("Withdrawing a version. move={} version={} cause={}",
                   resource.name, spec.to_version, decision.reason);
      out->withdraw.push_back({spec.model, spec.to_version, decision.reason});
    }
    if (decision.advance && input.holds_lease) {
      out->append.push_back(
          MakeProgressRecord(resource.name, input.fencing, *decision.advance));
    }
  }

  // Reevaluates a move when the controller asked for it or an input changed.
  // New faults count as a change, because a withdrawal must not be delayed.
  static const MoveDecision& EvaluateMove(const MoveDriverInput& input,
                                          const MoveSpec& spec,
                                          const MoveState& state,
                                          bool withdrawn,
                                          RunningMove* running) {
    const std::uint64_t faults = CountFaults(input.evidence, spec);
    const bool changed = !(running->state == state) ||
                         running->faults != faults ||
                         running->withdrawn != withdrawn ||
                         running->held_lease != input.holds_lease;
    if (changed || input.now >= running->decision.next_evaluation) {
      running->decision = running->controller->Decide(
          state, MakeMoveInput(input, spec, withdrawn));
      running->state = state;
      running->withdrawn = withdrawn;
      running->faults = faults;
      running->held_lease = input.holds_lease;
    }
    return running->decision;
  }

  RunningMove* GetOrCreateMove(const Resource& resource) {
    RunningMove& running = running_[resource.name];
    if (running.controller == nullptr ||
        running.resource_version != resource.version) {
      running = RunningMove();
      running.controller = MoveController::Make(
          resource.name, std::get<MoveSpec>(resource.spec), seed_);
      running.resource_version = resource.version;
    }
    return &running;
  }

  static MoveInput MakeMoveInput(const MoveDriverInput& input,
                                 const MoveSpec& spec, bool withdrawn) {
    MoveInput out;
    out.now = input.now;
    out.evidence = SelectEvidence(input.evidence, spec);
    const auto attainable = input.attainable_targets.find(spec.to_version);
    out.wanted_targets = attainable == input.attainable_targets.end()
                             ? CountDeclaredTargets(*input.config, spec)
                             : attainable->second;
    const std::map<std::string, int>::const_iterator it =
        input.ready_targets.find(spec.to_version);
    out.ready_targets = it == input.ready_targets.end() ? 0 : it->second;
    out.withdrawn = withdrawn;
    out.log_available = input.log_available;
    return out;
  }

  static MoveProgressRecord MakeProgressRecord(const std::string& move,
                                               std::uint64_t fencing,
                                               const MoveState& state) {
    return {move,
            fencing,
            state.share_permille,
            MovePhaseName(state.phase),
            state.step_since,
            state.reason};
  }

  std::uint64_t seed_;
  Logger log_{"move"};
  std::map<std::string, RunningMove> running_;
};

}  // namespace

std::unique_ptr<MoveDriver> MoveDriver::Make(std::uint64_t seed) {
  return std::make_unique<ControllerMoveDriver>(seed);
}

}  // namespace hornbeamcleat
