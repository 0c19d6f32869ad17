#ifndef HORNBEAMCLEAT_MOVE_EVIDENCE_TABLE_H_
#define HORNBEAMCLEAT_MOVE_EVIDENCE_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat {

/// Evidence of all entries as reported to one daemon. An entry's sums are
/// monotonic within an incarnation and start from zero after a restart. Keeping
/// them by incarnation tolerates duplicate, late and reordered reports, and a
/// restart loses no sums. Memory is bounded by entries times routes. Not
/// thread-safe.
class EvidenceTable {
 public:
  static std::unique_ptr<EvidenceTable> Make();

  virtual ~EvidenceTable() = default;

  /// Sets the cumulative sums of `entry` in `incarnation`. A report of an
  /// earlier incarnation is dropped; of two reports of one incarnation, the
  /// greater sums count.
  /// @return false if the report was dropped
  virtual bool Report(const std::string& entry, std::uint64_t incarnation,
                      const std::vector<VersionEvidence>& evidence) = 0;

  /// Sums over all entries and incarnations, one per model, version, route,
  /// tier, length class and load level, sorted in that order.
  virtual std::vector<VersionEvidence> Merged() const = 0;

  /// As above, for one model.
  virtual std::vector<VersionEvidence> Merged(
      const std::string& model) const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_MOVE_EVIDENCE_TABLE_H_
