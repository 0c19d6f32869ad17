#ifndef HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_MESSAGE_H_
#define HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/member/membership.h"

namespace hornbeamcleat {

/// Number of hashes that summarise a member's knowledge.
inline constexpr std::size_t kDigestBuckets = 32;

/// Member as it travels: with the count of suspicions it has refuted in its
/// incarnation. The greater (incarnation, refutations, state) wins.
struct MemberRecord {
  Member member;
  std::uint32_t refutations = 0;

  bool operator==(const MemberRecord&) const = default;
};

/// Kinds of datagrams.
enum class GossipType : std::uint8_t {
  kPing,          ///< asks for an acknowledgement
  kAck,           ///< answers the ping numbered `answers`
  kPingRequest,   ///< asks the receiver to ping `subject`
  kPush,          ///< changed items, while they are news
  kBuckets,       ///< hashes of what the sender knows; asks for what differs
  kBucketsReply,  ///< the same, in answer to kBuckets
  kItems          ///< items that differ, in answer to either
};

/// Content of a datagram.
struct GossipMessage {
  GossipType type = GossipType::kPing;
  std::uint64_t sequence = 0;  ///< rises with each datagram of an incarnation
  std::uint64_t digest = 0;    ///< hash of all the sender knows
  std::uint64_t answers = 0;
  std::string subject;  ///< IP:PORT
  std::vector<std::uint32_t> buckets;
  std::vector<MemberRecord> members;  ///< the sender first
  std::vector<Fact> facts;

  bool operator==(const GossipMessage&) const = default;
};

/// cereal archive of `message`.
std::string EncodeGossip(const GossipMessage& message);

/// @throws Error with step "decode" on malformed input
GossipMessage DecodeGossip(std::string_view bytes);

/// Bytes that an item adds to a datagram.
std::size_t EncodedSize(const MemberRecord& record);
std::size_t EncodedSize(const Fact& fact);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_MESSAGE_H_
