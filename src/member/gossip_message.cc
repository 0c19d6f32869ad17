#include "src/member/gossip_message.h"

#include "src/base/codec.h"

namespace hornbeamcleat {
namespace {

constexpr std::uint8_t kFormat = 1;

struct Envelope {
  std::uint8_t format = kFormat;
  GossipMessage message;
};

}  // namespace

template <typename Archive>
void serialize(Archive& ar, Address& address) {
  ar(address.ip, address.port);
}

template <typename Archive>
void serialize(Archive& ar, Member& member) {
  ar(member.name, member.address, member.caller_url, member.failure_domain,
     member.region, member.incarnation);
}

template <typename Archive>
void serialize(Archive& ar, MemberRecord& record) {
  std::uint8_t state = static_cast<std::uint8_t>(record.member.state);
  ar(record.member, state, record.refutations);
  if (state > static_cast<std::uint8_t>(MemberState::kDead)) {
    throw Error("decode", "", "unknown member state");
  }
  record.member.state = static_cast<MemberState>(state);
}

template <typename Archive>
void serialize(Archive& ar, Fact& fact) {
  ar(fact.origin, fact.key, fact.version, fact.value, fact.expires);
}

template <typename Archive>
void serialize(Archive& ar, GossipMessage& message) {
  std::uint8_t type = static_cast<std::uint8_t>(message.type);
  ar(type, message.sequence, message.digest, message.probe_sequence,
     message.probe_address, message.bucket_hashes, message.members,
     message.facts);
  if (type > static_cast<std::uint8_t>(GossipType::kSyncItems)) {
    throw Error("decode", "", "unknown datagram type");
  }
  message.type = static_cast<GossipType>(type);
}

namespace {

template <typename Archive>
void serialize(Archive& ar, Envelope& envelope) {
  ar(envelope.format);
  if (envelope.format != kFormat) {
    throw Error("decode", "", "unknown datagram format");
  }
  ar(envelope.message);
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  return EncodeBytes(Envelope{kFormat, message});
}

GossipMessage DecodeGossip(std::string_view bytes) {
  GossipMessage message = DecodeBytes<Envelope>(bytes).message;
  if (message.members.empty()) {
    throw Error("decode", "", "the sender's record is missing");
  }
  if (!message.bucket_hashes.empty() &&
      message.bucket_hashes.size() != kDigestBuckets) {
    throw Error("decode", "", "the number of bucket hashes is wrong");
  }
  return message;
}

std::size_t EncodedSize(const MemberRecord& record) {
  return EncodeBytes(record).size();
}

std::size_t EncodedSize(const Fact& fact) { return EncodeBytes(fact).size(); }

}  // namespace hornbeamcleat
