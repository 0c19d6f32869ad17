#include "src/member/gossip_packer.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kIpUdpHeaderBytes = 28;
constexpr std::size_t kProbeReserveBytes = 1'024;  // for pings and acks
// Reserve for pings and acks while sending persistent items.
constexpr std::size_t kMinProbeReserveBytes = 256;
constexpr int kExtraSends = 2;
constexpr std::size_t kMaxSyncDatagrams = 2;

int SendCount(std::size_t receivers) {
  return receivers == 0
             ? 0
             : static_cast<int>(std::bit_width(receivers)) + kExtraSends;
}

}  // namespace

GossipPacker::GossipPacker(const MembershipOptions& options,
                           const MemberTable* members, const FactTable* facts)
    : max_datagram_(options.max_datagram),
      members_(members),
      facts_(facts),
      digest_(members, facts),
      hmac_(HmacSha256::Make(options.key)),
      budget_(options.bytes_per_second),
      random_(options.seed) {}

int* GossipPacker::RemainingFor(RemainingSends* sends, GossipScope scope) {
  return scope == GossipScope::kOwnDomain ? &sends->own_domain
                                          : &sends->other_domains;
}

void GossipPacker::QueueBroadcast(const GossipItem& item, bool relay) {
  const std::string& domain = members_->Self().member.failure_domain;
  RemainingSends sends;
  sends.own_domain = SendCount(members_->Peers(domain).size());
  sends.other_domains = relay ? SendCount(members_->OtherDomains().size()) : 0;
  if (sends.own_domain > 0 || sends.other_domains > 0) {
    broadcasts_[item] = sends;
  }
}

bool GossipPacker::HasBroadcasts(GossipScope scope) const {
  return std::any_of(broadcasts_.begin(), broadcasts_.end(),
                     [scope](std::pair<const GossipItem, RemainingSends> it) {
                       return *RemainingFor(&it.second, scope) > 0;
                     });
}

bool GossipPacker::IsDeferrable(const GossipItem& item) const {
  const FactTable::Key* key = std::get_if<FactTable::Key>(&item);
  if (key == nullptr) {
    return false;
  }
  const std::map<FactTable::Key, Fact>::const_iterator it =
      facts_->All().find(*key);
  return it == facts_->All().end() || it->second.expires;
}

std::vector<GossipItem> GossipPacker::BroadcastsByPriority(
    GossipScope scope) const {
  std::vector<std::tuple<bool, int, GossipItem>> ranked;
  for (std::pair<GossipItem, RemainingSends> entry : broadcasts_) {
    const int left = *RemainingFor(&entry.second, scope);
    if (left > 0) {
      ranked.emplace_back(IsDeferrable(entry.first), -left, entry.first);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<GossipItem> out;
  out.reserve(ranked.size());
  for (const std::tuple<bool, int, GossipItem>& entry : ranked) {
    out.push_back(std::get<GossipItem>(entry));
  }
  return out;
}

std::size_t GossipPacker::AvailableBytes(const GossipMessage& message,
                                         std::size_t reserve, Time now) {
  const std::size_t used = EncodeGossip(message).size() + HmacSha256::kSize;
  const std::size_t available = budget_.Available(now);
  const std::size_t reserved = reserve + kIpUdpHeaderBytes;
  const std::size_t allowed =
      std::min(max_datagram_, available > reserved ? available - reserved : 0);
  return allowed > used ? allowed - used : 0;
}

bool GossipPacker::AppendItem(const GossipItem& item, std::size_t* room,
                              GossipMessage* message) const {
  std::size_t n = 0;
  if (const std::string* name = std::get_if<std::string>(&item)) {
    const MemberRecord* record = members_->Find(*name);
    n = record == nullptr ? 0 : EncodedSize(*record);
    if (n == 0 || n > *room) {
      return false;
    }
    message->members.push_back(*record);
  } else {
    const std::map<FactTable::Key, Fact>::const_iterator it =
        facts_->All().find(std::get<FactTable::Key>(item));
    n = it == facts_->All().end() ? 0 : EncodedSize(it->second);
    if (n == 0 || n > *room) {
      return false;
    }
    message->facts.push_back(it->second);
  }
  *room -= n;
  return true;
}

void GossipPacker::AppendBroadcasts(GossipScope scope, std::size_t room,
                                    GossipMessage* message) {
  for (const GossipItem& item : BroadcastsByPriority(scope)) {
    if (!AppendItem(item, &room, message)) {
      continue;
    }
    const std::map<GossipItem, RemainingSends>::iterator it =
        broadcasts_.find(item);
    --*RemainingFor(&it->second, scope);
    if (it->second.own_domain <= 0 && it->second.other_domains <= 0) {
      broadcasts_.erase(it);
    }
  }
}

std::optional<Datagram> GossipPacker::Pack(GossipMessage message,
                                           const Address& to, GossipScope scope,
                                           Time now) {
  message.digest = digest_.CombinedHash();
  message.members.insert(message.members.begin(), members_->Self());
  const bool push = message.type == GossipType::kPush;
  const std::size_t base_items = message.members.size() + message.facts.size();
  AppendBroadcasts(scope, AvailableBytes(message, kProbeReserveBytes, now),
                   &message);
  if (push && message.members.size() + message.facts.size() == base_items) {
    return std::nullopt;
  }
  return SignAndCharge(message, to, now);
}

std::vector<GossipItem> GossipPacker::DifferingItems(
    const std::vector<std::uint32_t>& buckets) {
  const std::vector<std::uint32_t> own = digest_.BucketHashes();
  std::vector<GossipItem> names;
  std::vector<GossipItem> persistent;
  std::vector<GossipItem> expiring;
  for (const auto& [name, record] : members_->Records()) {
    const std::size_t n = GossipDigest::BucketOf(name);
    if (own[n] != buckets[n]) {
      names.emplace_back(name);
    }
  }
  for (const auto& [key, fact] : facts_->All()) {
    const std::size_t n = GossipDigest::BucketOf(fact);
    if (own[n] != buckets[n]) {
      (fact.expires ? expiring : persistent).emplace_back(key);
    }
  }
  std::shuffle(names.begin(), names.end(), random_);
  std::shuffle(persistent.begin(), persistent.end(), random_);
  std::shuffle(expiring.begin(), expiring.end(), random_);
  // Members precede expiring facts, which are rejected if the origin is
  // unknown.
  persistent.insert(persistent.end(), names.begin(), names.end());
  persistent.insert(persistent.end(), expiring.begin(), expiring.end());
  return persistent;
}

std::vector<Datagram> GossipPacker::PackDifferences(
    const std::vector<std::uint32_t>& buckets, const Address& to, Time now) {
  std::vector<Datagram> out;
  if (buckets.size() != kDigestBuckets) {
    return out;
  }
  const std::vector<GossipItem> items = DifferingItems(buckets);
  std::size_t next = 0;
  while (out.size() < kMaxSyncDatagrams && next < items.size()) {
    std::optional<Datagram> datagram = PackItems(items, &next, to, now);
    if (!datagram) {
      break;
    }
    out.push_back(std::move(*datagram));
  }
  return out;
}

std::optional<Datagram> GossipPacker::PackItems(
    const std::vector<GossipItem>& items, std::size_t* next, const Address& to,
    Time now) {
  GossipMessage message;
  message.type = GossipType::kSyncItems;
  message.digest = digest_.CombinedHash();
  message.members.push_back(members_->Self());
  const bool deferrable = *next < items.size() && IsDeferrable(items[*next]);
  std::size_t room = AvailableBytes(
      message, deferrable ? kProbeReserveBytes : kMinProbeReserveBytes, now);
  const std::size_t first = *next;
  while (*next < items.size() && AppendItem(items[*next], &room, &message)) {
    ++*next;
  }
  return *next == first ? std::nullopt : SignAndCharge(message, to, now);
}

std::optional<Datagram> GossipPacker::SignAndCharge(
    const GossipMessage& message, const Address& to, Time now) {
  GossipMessage numbered = message;
  numbered.sequence = sequence_ + 1;
  std::string bytes = EncodeGossip(numbered);
  bytes += hmac_->Sign(bytes);
  if (bytes.size() > max_datagram_ ||
      !budget_.TryConsume(bytes.size() + kIpUdpHeaderBytes, now)) {
    return std::nullopt;
  }
  ++sequence_;
  bytes_sent_ += bytes.size() + kIpUdpHeaderBytes;
  return Datagram{to, std::move(bytes)};
}

std::optional<GossipMessage> GossipPacker::VerifyAndDecode(
    std::string_view bytes, MembershipCounters* counters) {
  if (bytes.size() > max_datagram_ || bytes.size() < HmacSha256::kSize) {
    ++counters->malformed;
    return std::nullopt;
  }
  const std::size_t n = bytes.size() - HmacSha256::kSize;
  if (!hmac_->Verify(bytes.substr(0, n), bytes.substr(n))) {
    ++counters->unauthenticated;
    return std::nullopt;
  }
  try {
    return DecodeGossip(bytes.substr(0, n));
  } catch (const Error&) {
    ++counters->malformed;
    return std::nullopt;
  }
}

}  // namespace hornbeamcleat
