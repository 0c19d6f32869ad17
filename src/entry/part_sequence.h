#ifndef HORNBEAMCLEAT_SRC_ENTRY_PART_SEQUENCE_H_
#define HORNBEAMCLEAT_SRC_ENTRY_PART_SEQUENCE_H_

#include <cstdint>
#include <optional>

namespace hornbeamcleat {

/// Position of a part relative to the parts accepted so far.
enum class PartPosition {
  kNext,       ///< follows the last accepted part
  kDuplicate,  ///< accepted before; to be dropped
  kGap,        ///< at least one part before it is missing
};

/// Orders the parts of an answer by offset, across all its connections. Offsets
/// start at 1.
class PartSequence {
 public:
  /// Accepts the part with offset `id` if it is the next one. A part without an
  /// offset counts as the next one.
  PartPosition Accept(std::optional<std::uint64_t> id) {
    if (id && *id <= last_) {
      return PartPosition::kDuplicate;
    }
    if (id && *id > last_ + 1) {
      return PartPosition::kGap;
    }
    ++last_;
    return PartPosition::kNext;
  }

  /// Offset of the last accepted part; 0 if there is none.
  std::uint64_t Last() const { return last_; }

  /// Continues after offset `last`.
  void Reset(std::uint64_t last) { last_ = last; }

 private:
  std::uint64_t last_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_PART_SEQUENCE_H_
