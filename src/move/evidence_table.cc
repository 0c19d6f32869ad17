#include "hornbeamcleat/move/evidence_table.h"

#include <map>
#include <tuple>

namespace hornbeamcleat {
namespace {

using CellKey = std::tuple<std::string, std::string, std::string, std::string,
                           int, int, int>;
using Cells = std::map<CellKey, VersionEvidence>;

CellKey CellKeyOf(const VersionEvidence& cell) {
  return {cell.model,     cell.version,      cell.workspace, cell.application,
          cell.tier_rank, cell.length_class, cell.load_level};
}

std::uint64_t EndedRequests(const VersionEvidence& cell) {
  return cell.done + cell.faults + cell.excluded;
}

void AddCell(const VersionEvidence& cell, VersionEvidence* sum) {
  sum->done += cell.done;
  sum->faults += cell.faults;
  sum->crashes += cell.crashes;
  sum->excluded += cell.excluded;
  sum->first_part_sum += cell.first_part_sum;
  sum->first_part_square_sum += cell.first_part_square_sum;
  sum->first_part_log_sum += cell.first_part_log_sum;
  sum->first_part_log_square_sum += cell.first_part_log_square_sum;
  sum->gaps += cell.gaps;
  sum->gap_log_sum += cell.gap_log_sum;
  sum->gap_log_square_sum += cell.gap_log_square_sum;
}

void MergeCell(const VersionEvidence& cell, Cells* sums) {
  const auto [it, inserted] = sums->try_emplace(CellKeyOf(cell), cell);
  if (!inserted) {
    AddCell(cell, &it->second);
  }
}

class EvidenceTableImpl : public EvidenceTable {
 public:
  bool Report(const std::string& entry, std::uint64_t incarnation,
              const std::vector<VersionEvidence>& evidence) override {
    Incarnation& current = incarnations_[entry];
    if (incarnation < current.incarnation) {
      return false;
    }
    if (incarnation > current.incarnation) {
      for (const auto& [key, cell] : current.cells) {
        MergeCell(cell, &ended_sums_);
      }
      current.cells.clear();
      current.incarnation = incarnation;
    }
    for (const VersionEvidence& cell : evidence) {
      VersionEvidence& known = current.cells[CellKeyOf(cell)];
      if (EndedRequests(cell) >= EndedRequests(known)) {
        known = cell;
      }
    }
    return true;
  }

  std::vector<VersionEvidence> Merged() const override {
    return Merged(nullptr);
  }

  std::vector<VersionEvidence> Merged(const std::string& model) const override {
    return Merged(&model);
  }

 private:
  struct Incarnation {
    std::uint64_t incarnation = 0;
    Cells cells;
  };

  std::vector<VersionEvidence> Merged(const std::string* model) const {
    Cells sums;
    const auto add = [&sums, model](const Cells& cells) {
      for (const auto& [key, cell] : cells) {
        if (model == nullptr || cell.model == *model) {
          MergeCell(cell, &sums);
        }
      }
    };
    add(ended_sums_);
    for (const auto& [entry, current] : incarnations_) {
      add(current.cells);
    }
    std::vector<VersionEvidence> out;
    out.reserve(sums.size());
    for (const auto& [key, cell] : sums) {
      out.push_back(cell);
    }
    return out;
  }

  /// Current incarnations by entry.
  std::map<std::string, Incarnation> incarnations_;
  Cells ended_sums_;  ///< sums of all earlier incarnations
};

}  // namespace

std::unique_ptr<EvidenceTable> EvidenceTable::Make() {
  return std::make_unique<EvidenceTableImpl>();
}

}  // namespace hornbeamcleat
