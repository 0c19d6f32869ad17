#ifndef HORNBEAMCLEAT_MOVE_EVIDENCE_TABLE_H_
#define HORNBEAMCLEAT_MOVE_EVIDENCE_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat {

/// Evidence of all entries as one daemon has heard it. An entry's sums only
/// grow while it lives and start from zero when it restarts, so they are kept
/// by incarnation: reports may come twice, late or out of order, and a restart
/// takes nothing back. Memory is bounded by entries times routes. Not
/// thread-safe.
class EvidenceTable {
 public:
  static std::unique_ptr<EvidenceTable> Make();

  virtual ~EvidenceTable() = default;

  /// Takes the whole sums of `entry` in its life `incarnation`. A report of an
  /// earlier life is dropped, and of two reports of one life the greater sums
  /// count.
  /// @return false if the report was dropped
  virtual bool Report(const std::string& entry, std::uint64_t incarnation,
                      const std::vector<VersionEvidence>& evidence) = 0;

  /// Sums over all entries and lives, one per model, version, route, tier,
  /// length class and load level, in that order.
  virtual std::vector<VersionEvidence> Merged() const = 0;

  /// The same for one model.
  virtual std::vector<VersionEvidence> Merged(
      const std::string& model) const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_EVIDENCE_TABLE_H_
