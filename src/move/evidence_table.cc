#include "hornbeamcleat/move/evidence_table.h"

#include <map>
#include <tuple>

namespace hornbeamcleat {
namespace {

using CellKey = std::tuple<std::string, std::string, std::string, std::string,
                           int, int, int>;
using Cells = std::map<CellKey, VersionEvidence>;

CellKey KeyOf(const VersionEvidence& cell) {
  return {cell.model,     cell.version,      cell.workspace, cell.application,
          cell.tier_rank, cell.length_class, cell.load_level};
}

std::uint64_t Ends(const VersionEvidence& cell) {
  return cell.done + cell.faults + cell.excluded;
}

void AddTo(const VersionEvidence& cell, VersionEvidence* sum) {
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

void MergeInto(const VersionEvidence& cell, Cells* sums) {
  const auto [it, inserted] = sums->try_emplace(KeyOf(cell), cell);
  if (!inserted) {
    AddTo(cell, &it->second);
  }
}

class Table : public EvidenceTable {
 public:
  bool Report(const std::string& entry, std::uint64_t incarnation,
              const std::vector<VersionEvidence>& evidence) override {
    Life& life = lives_[entry];
    if (incarnation < life.incarnation) {
      return false;
    }
    if (incarnation > life.incarnation) {
      for (const auto& [key, cell] : life.cells) {
        MergeInto(cell, &ended_);
      }
      life.cells.clear();
      life.incarnation = incarnation;
    }
    for (const VersionEvidence& cell : evidence) {
      VersionEvidence& known = life.cells[KeyOf(cell)];
      if (Ends(cell) >= Ends(known)) {
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
  struct Life {
    std::uint64_t incarnation = 0;
    Cells cells;
  };

  std::vector<VersionEvidence> Merged(const std::string* model) const {
    Cells sums;
    const auto add = [&sums, model](const Cells& cells) {
      for (const auto& [key, cell] : cells) {
        if (model == nullptr || cell.model == *model) {
          MergeInto(cell, &sums);
        }
      }
    };
    add(ended_);
    for (const auto& [entry, life] : lives_) {
      add(life.cells);
    }
    std::vector<VersionEvidence> out;
    out.reserve(sums.size());
    for (const auto& [key, cell] : sums) {
      out.push_back(cell);
    }
    return out;
  }

  std::map<std::string, Life> lives_;  ///< by entry, the present life
  Cells ended_;                        ///< sums of all earlier lives
};

}  // namespace

std::unique_ptr<EvidenceTable> EvidenceTable::Make() {
  return std::make_unique<Table>();
}

}  // namespace hornbeamcleat
