#ifndef HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_MESSAGE_H_
#define HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/member/membership.h"

namespace hornbeamcleat {

/// Number of hashes in a digest of all members and facts.
inline constexpr std::size_t kDigestBuckets = 32;

/// Member as encoded in datagrams, with the number of suspicions that it has
/// refuted in its incarnation. The greatest (incarnation, refutations, state)
/// takes precedence.
struct MemberRecord {
  Member member;
  std::uint32_t refutations = 0;

  bool operator==(const MemberRecord&) const = default;
};

/// Types of datagrams.
enum class GossipType : std::uint8_t {
  kPing,         ///< requests an acknowledgement
  kAck,          ///< acknowledges the ping numbered `probe_sequence`
  kPingRequest,  ///< requests a ping of `probe_address` by the receiver
  kPush,         ///< recently changed items
  kSyncRequest,  ///< sender's bucket hashes; requests items that differ
  kSyncReply,    ///< the same, in reply to kSyncRequest
  kSyncItems     ///< items that differ, in reply to either
};

/// Content of a datagram.
struct GossipMessage {
  GossipType type = GossipType::kPing;
  /// Increases with each datagram of the sender's incarnation.
  std::uint64_t sequence = 0;
  std::uint64_t digest = 0;  ///< hash of all items that the sender holds
  std::uint64_t probe_sequence = 0;
  std::string probe_address;  ///< IP:PORT
  std::vector<std::uint32_t> bucket_hashes;
  std::vector<MemberRecord> members;  ///< the sender's own record first
  std::vector<Fact> facts;

  bool operator==(const GossipMessage&) const = default;
};

/// Returns `message` as a cereal archive.
std::string EncodeGossip(const GossipMessage& message);

/// @throws Error with step "decode" on malformed input
GossipMessage DecodeGossip(std::string_view bytes);

/// Returns the number of bytes that an item adds to a datagram.
std::size_t EncodedSize(const MemberRecord& record);
std::size_t EncodedSize(const Fact& fact);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_MESSAGE_H_
