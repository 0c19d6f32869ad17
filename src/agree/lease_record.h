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
  std::uint64_t number = 0;   ///< unique within the holder's incarnation
  std::uint64_t read_to = 0;  ///< offset up to which the writer had read
  std::uint64_t fencing = 0;  ///< number of the term renewed; 0 for a claim
  bool resigns = false;

  bool operator==(const LeaseRecord&) const = default;
};

/// JSON text; unknown members are ignored, so that old builds read new records.
std::string EncodeLease(const LeaseRecord& record);

/// @throws Error with step "decode" on malformed or oversized input
LeaseRecord DecodeLease(std::string_view bytes);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_AGREE_LEASE_RECORD_H_
