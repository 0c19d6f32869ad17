#ifndef HORNBEAMCLEAT_SRC_ENTRY_PART_SEQUENCE_H_
#define HORNBEAMCLEAT_SRC_ENTRY_PART_SEQUENCE_H_

#include <cstdint>
#include <optional>

namespace hornbeamcleat {

/// Place of a part in the order of its answer.
enum class PartPlace {
  kNext,       ///< the one after the last
  kDuplicate,  ///< late or repeated; drop it
  kGap,        ///< one or more parts before it are missing
};

/// Order of one answer's parts, whichever connection brings them. Offsets
/// count from 1.
class PartSequence {
 public:
  /// Takes the part with offset `id` if it is next; a part without an offset
  /// counts as next.
  PartPlace Take(std::optional<std::uint64_t> id) {
    if (id && *id <= last_) {
      return PartPlace::kDuplicate;
    }
    if (id && *id > last_ + 1) {
      return PartPlace::kGap;
    }
    ++last_;
    return PartPlace::kNext;
  }

  /// Offset of the last part taken; 0 before the first.
  std::uint64_t Last() const { return last_; }

  /// Goes on after `last`.
  void Reset(std::uint64_t last) { last_ = last; }

 private:
  std::uint64_t last_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_ENTRY_PART_SEQUENCE_H_
