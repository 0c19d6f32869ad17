#ifndef HORNBEAMCLEAT_SRC_AGREE_LEASE_RECORD_H_
#define HORNBEAMCLEAT_SRC_AGREE_LEASE_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Record of the lease stream: a claim, a renewal or a resignation.
struct LeaseRecord {
  std::string lease;
  std::string holder;
  std::uint64_t number = 0;  ///< unique within the holder's incarnation
  std::uint64_t last_read_offset = 0;  ///< by the writer
  std::uint64_t fencing = 0;  ///< token of the renewed term; 0 in a claim
  bool is_resignation = false;

  bool operator==(const LeaseRecord&) const = default;
};

/// Returns JSON. Decoding ignores unknown members, so that older builds can
/// read the records of newer ones.
std::string EncodeLease(const LeaseRecord& record);

/// @throws Error with step "decode" on malformed or oversized input
LeaseRecord DecodeLease(std::string_view bytes);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_AGREE_LEASE_RECORD_H_
