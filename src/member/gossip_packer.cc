#include "src/member/gossip_packer.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kHeaderBytes = 28;      // IP and UDP
constexpr std::size_t kProbeReserve = 1'024;  // bytes kept for pings and acks
constexpr int kExtraSends = 2;
constexpr std::size_t kSyncDatagrams = 2;

int SendsFor(std::size_t receivers) {
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

int* GossipPacker::Left(Sends* sends, GossipScope scope) {
  return scope == GossipScope::kDomain ? &sends->domain : &sends->other;
}

void GossipPacker::AddNews(const GossipItem& item, bool relay) {
  const std::string& domain = members_->Self().member.failure_domain;
  Sends sends;
  sends.domain = SendsFor(members_->Peers(domain).size());
  sends.other = relay ? SendsFor(members_->OtherDomains().size()) : 0;
  if (sends.domain > 0 || sends.other > 0) {
    news_[item] = sends;
  }
}

bool GossipPacker::HasNews(GossipScope scope) const {
  return std::any_of(news_.begin(), news_.end(),
                     [scope](std::pair<const GossipItem, Sends> it) {
                       return *Left(&it.second, scope) > 0;
                     });
}

std::vector<GossipItem> GossipPacker::MostNews(GossipScope scope) const {
  std::vector<std::pair<int, GossipItem>> ranked;
  for (std::pair<GossipItem, Sends> entry : news_) {
    const int left = *Left(&entry.second, scope);
    if (left > 0) {
      ranked.emplace_back(-left, entry.first);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<GossipItem> out;
  out.reserve(ranked.size());
  for (const std::pair<int, GossipItem>& entry : ranked) {
    out.push_back(entry.second);
  }
  return out;
}

std::size_t GossipPacker::Room(const GossipMessage& message,
                               std::size_t reserve, Time now) {
  const std::size_t used = EncodeGossip(message).size() + HmacSha256::kSize;
  const std::size_t available = budget_.Available(now);
  const std::size_t kept = reserve + kHeaderBytes;
  const std::size_t allowed =
      std::min(max_datagram_, available > kept ? available - kept : 0);
  return allowed > used ? allowed - used : 0;
}

bool GossipPacker::AddItem(const GossipItem& item, std::size_t* room,
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

void GossipPacker::FillWithNews(GossipScope scope, std::size_t room,
                                GossipMessage* message) {
  for (const GossipItem& item : MostNews(scope)) {
    if (!AddItem(item, &room, message)) {
      continue;
    }
    const std::map<GossipItem, Sends>::iterator it = news_.find(item);
    --*Left(&it->second, scope);
    if (it->second.domain <= 0 && it->second.other <= 0) {
      news_.erase(it);
    }
  }
}

std::optional<Datagram> GossipPacker::Pack(GossipMessage message,
                                           const Address& to, GossipScope scope,
                                           Time now) {
  message.digest = digest_.Total();
  message.members.insert(message.members.begin(), members_->Self());
  const bool push = message.type == GossipType::kPush;
  const std::size_t bare = message.members.size() + message.facts.size();
  FillWithNews(scope, Room(message, kProbeReserve, now), &message);
  if (push && message.members.size() + message.facts.size() == bare) {
    return std::nullopt;
  }
  return Seal(message, to, now);
}

std::vector<GossipItem> GossipPacker::Differing(
    const std::vector<std::uint32_t>& buckets) {
  const std::vector<std::uint32_t> own = digest_.Buckets();
  std::vector<GossipItem> names;
  std::vector<GossipItem> keys;
  for (const auto& [name, record] : members_->Records()) {
    const std::size_t n = GossipDigest::BucketOf(name);
    if (own[n] != buckets[n]) {
      names.emplace_back(name);
    }
  }
  for (const auto& [key, fact] : facts_->All()) {
    const std::size_t n = GossipDigest::BucketOf(key);
    if (own[n] != buckets[n]) {
      keys.emplace_back(key);
    }
  }
  std::shuffle(names.begin(), names.end(), random_);
  std::shuffle(keys.begin(), keys.end(), random_);
  // Members go first, since facts of unknown origins are not taken.
  names.insert(names.end(), keys.begin(), keys.end());
  return names;
}

std::vector<Datagram> GossipPacker::PackDiffering(
    const std::vector<std::uint32_t>& buckets, const Address& to, Time now) {
  std::vector<Datagram> out;
  if (buckets.size() != kDigestBuckets) {
    return out;
  }
  const std::vector<GossipItem> items = Differing(buckets);
  std::size_t next = 0;
  while (out.size() < kSyncDatagrams && next < items.size()) {
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
  message.type = GossipType::kItems;
  message.digest = digest_.Total();
  message.members.push_back(members_->Self());
  std::size_t room = Room(message, kProbeReserve, now);
  const std::size_t first = *next;
  while (*next < items.size() && AddItem(items[*next], &room, &message)) {
    ++*next;
  }
  return *next == first ? std::nullopt : Seal(message, to, now);
}

std::optional<Datagram> GossipPacker::Seal(const GossipMessage& message,
                                           const Address& to, Time now) {
  GossipMessage numbered = message;
  numbered.sequence = sequence_ + 1;
  std::string bytes = EncodeGossip(numbered);
  bytes += hmac_->Sign(bytes);
  if (bytes.size() > max_datagram_ ||
      !budget_.Take(bytes.size() + kHeaderBytes, now)) {
    return std::nullopt;
  }
  ++sequence_;
  bytes_sent_ += bytes.size() + kHeaderBytes;
  return Datagram{to, std::move(bytes)};
}

std::optional<GossipMessage> GossipPacker::Open(std::string_view bytes,
                                                MembershipCounters* counters) {
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
