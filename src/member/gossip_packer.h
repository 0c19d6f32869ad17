#ifndef HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_PACKER_H_
#define HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_PACKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "src/member/byte_budget.h"
#include "src/member/fact_table.h"
#include "src/member/gossip_digest.h"
#include "src/member/gossip_message.h"
#include "src/member/hmac_sha256.h"
#include "src/member/member_table.h"

namespace hornbeamcleat {

/// Name of a member or key of a fact.
using GossipItem = std::variant<std::string, FactTable::Key>;

/// Whether the receiver of a datagram is in the sender's failure domain.
enum class GossipScope { kOwnDomain, kOtherDomain };

/// Builds datagrams within the byte budget and fills them with queued
/// broadcasts. Each broadcast is sent a number of times that grows with the
/// logarithm of the number of receivers; anti-entropy delivers it to members
/// that it did not reach.
class GossipPacker {
 public:
  GossipPacker(const MembershipOptions& options, const MemberTable* members,
               const FactTable* facts);

  /// Queues an item for broadcast. Only relays broadcast to other domains.
  void QueueBroadcast(const GossipItem& item, bool relay);

  bool HasBroadcasts(GossipScope scope) const;

  /// Returns a datagram with `message`, the sender's record and as many queued
  /// broadcasts as fit. Returns nullopt if the byte budget is exhausted, and
  /// for kPush also if no broadcast fits.
  std::optional<Datagram> Pack(GossipMessage message, const Address& to,
                               GossipScope scope, Time now);

  /// Returns datagrams with items of the buckets whose hashes differ from
  /// `buckets`. The number of datagrams is limited; the items are in random
  /// order so that repeated calls eventually send all of them.
  std::vector<Datagram> PackDifferences(
      const std::vector<std::uint32_t>& buckets, const Address& to, Time now);

  /// Verifies and decodes a datagram. If it is invalid, increments the counter
  /// of the cause and returns nullopt.
  std::optional<GossipMessage> VerifyAndDecode(std::string_view bytes,
                                               MembershipCounters* counters);

  std::uint64_t LastSequence() const { return sequence_; }
  std::uint64_t BytesSent() const { return bytes_sent_; }
  GossipDigest& Digest() { return digest_; }

 private:
  struct RemainingSends {
    int own_domain = 0;
    int other_domains = 0;
  };

  static int* RemainingFor(RemainingSends* sends, GossipScope scope);
  bool IsDeferrable(const GossipItem& item) const;
  /// Persistent facts and members first, then the items sent the fewest times.
  std::vector<GossipItem> BroadcastsByPriority(GossipScope scope) const;
  std::vector<GossipItem> DifferingItems(
      const std::vector<std::uint32_t>& buckets);
  std::optional<Datagram> PackItems(const std::vector<GossipItem>& items,
                                    std::size_t* next, const Address& to,
                                    Time now);
  std::size_t AvailableBytes(const GossipMessage& message, std::size_t reserve,
                             Time now);
  bool AppendItem(const GossipItem& item, std::size_t* room,
                  GossipMessage* message) const;
  void AppendBroadcasts(GossipScope scope, std::size_t room,
                        GossipMessage* message);
  std::optional<Datagram> SignAndCharge(const GossipMessage& message,
                                        const Address& to, Time now);

  const std::size_t max_datagram_;
  const MemberTable* members_;
  const FactTable* facts_;
  GossipDigest digest_;
  std::unique_ptr<HmacSha256> hmac_;
  ByteBudget budget_;
  std::map<GossipItem, RemainingSends> broadcasts_;
  std::mt19937_64 random_;
  std::uint64_t sequence_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_PACKER_H_
