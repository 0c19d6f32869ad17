#include "src/control/evidence_exchange.h"

#include "hornbeamcleat/move/move_controller.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxChunkBytes = 400;

bool IsFinished(const ConfigState& config, const std::string& move) {
  const std::map<std::string, MoveProgressRecord>::const_iterator it =
      config.moves.find(move);
  if (it == config.moves.end()) {
    return false;
  }
  const MovePhase phase = ParseMovePhase(it->second.phase);
  return phase == MovePhase::kDone || phase == MovePhase::kRolledBack;
}

}  // namespace

std::set<std::string> MovingModels(const ConfigState& config) {
  std::set<std::string> out;
  for (const auto& [key, resource] : config.resources) {
    const MoveSpec* spec = std::get_if<MoveSpec>(&resource.spec);
    if (spec != nullptr && !IsFinished(config, resource.name)) {
      out.insert(spec->model);
    }
  }
  return out;
}

std::vector<std::string> EvidenceChunks(const EvidenceReport& report,
                                        const std::set<std::string>& models) {
  std::vector<std::string> out;
  EvidenceReport chunk;
  chunk.incarnation = report.incarnation;
  for (const VersionEvidence& item : report.evidence) {
    if (!models.contains(item.model)) {
      continue;
    }
    chunk.evidence.push_back(item);
    if (EncodeEvidence(chunk).size() > kMaxChunkBytes &&
        chunk.evidence.size() > 1) {
      chunk.evidence.pop_back();
      out.push_back(EncodeEvidence(chunk));
      chunk.evidence = {item};
    }
  }
  if (!chunk.evidence.empty()) {
    out.push_back(EncodeEvidence(chunk));
  }
  return out;
}

}  // namespace hornbeamcleat
