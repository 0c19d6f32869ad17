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

/// Whom a datagram goes to.
enum class GossipScope { kDomain, kOtherDomain };

/// Makes datagrams within the byte budget and fills them with news. Each item
/// of news is sent a number of times that grows with the logarithm of the
/// number of receivers; anti-entropy brings it to whom it missed.
class GossipPacker {
 public:
  GossipPacker(const MembershipOptions& options, const MemberTable* members,
               const FactTable* facts);

  /// Makes an item news. Only relays send news to other domains.
  void AddNews(const GossipItem& item, bool relay);

  bool HasNews(GossipScope scope) const;

  /// Datagram with `message`, the sender's and, unless it is alive, the
  /// receiver's own record, and as much news as fits. Nothing if the budget is
  /// spent; for kPush also if no news fits.
  std::optional<Datagram> Pack(GossipMessage message, const Address& to,
                               GossipScope scope, Time now);

  /// Datagrams with items of the buckets that differ from `buckets`, as many
  /// as fit into a few; in another order each time, so that repetition brings
  /// all over.
  std::vector<Datagram> PackDiffering(const std::vector<std::uint32_t>& buckets,
                                      const Address& to, Time now);

  /// Verifies and decodes a datagram; nothing if `*counters` says why not.
  std::optional<GossipMessage> Open(std::string_view bytes,
                                    MembershipCounters* counters);

  std::uint64_t LastSequence() const { return sequence_; }
  std::uint64_t BytesSent() const { return bytes_sent_; }
  GossipDigest& Digest() { return digest_; }

 private:
  struct Sends {
    int domain = 0;
    int other = 0;
  };

  static int* Left(Sends* sends, GossipScope scope);
  std::vector<GossipItem> MostNews(GossipScope scope) const;
  std::vector<GossipItem> Differing(const std::vector<std::uint32_t>& buckets);
  std::optional<Datagram> PackItems(const std::vector<GossipItem>& items,
                                    std::size_t* next, const Address& to,
                                    Time now);
  std::size_t Room(const GossipMessage& message, std::size_t reserve, Time now);
  bool AddItem(const GossipItem& item, std::size_t* room,
               GossipMessage* message) const;
  void FillWithNews(GossipScope scope, std::size_t room,
                    GossipMessage* message);
  std::optional<Datagram> Seal(const GossipMessage& message, const Address& to,
                               Time now);

  const std::size_t max_datagram_;
  const MemberTable* members_;
  const FactTable* facts_;
  GossipDigest digest_;
  std::unique_ptr<HmacSha256> hmac_;
  ByteBudget budget_;
  std::map<GossipItem, Sends> news_;
  std::mt19937_64 random_;
  std::uint64_t sequence_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_GOSSIP_PACKER_H_
