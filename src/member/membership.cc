#include "hornbeamcleat/member/membership.h"

#include <utility>

#include "hornbeamcleat/base/error.h"
#include "src/member/gossip_packer.h"
#include "src/member/probe_schedule.h"
#include "src/member/replay_guard.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxSelfBytes = 400;
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 43;
constexpr int kSuspectAfterProbePeriods = 2;
constexpr std::size_t kDomainsPerPush = 2;
constexpr std::size_t kLeaveFanout = 8;
constexpr std::size_t kMaxIndirectProbes = 256;
constexpr Duration kJoinPeriod = std::chrono::seconds(2);

class MembershipImpl : public Membership {
 public:
  MembershipImpl(const Member& self, const MembershipOptions& options)
      : options_(options),
        max_fact_bytes_(options.max_datagram / 2),
        members_(self, options),
        packer_(options, &members_, &facts_),
        schedule_(options, &members_) {}

  std::vector<Datagram> OnDatagram(const Address&, std::string_view bytes,
                                   Time now) override {
    ++counters_.received;
    outgoing_.clear();
    const std::optional<GossipMessage> message =
        packer_.VerifyAndDecode(bytes, &counters_);
    if (!message) {
      return {};
    }
    const Member& sender = message->members.front().member;
    if (sender.name == Self().name ||
        !replay_guard_.Accept(sender.name, sender.incarnation,
                              message->sequence)) {
      ++counters_.replayed;
      return {};
    }
    MergeMessage(*message, now);
    HandleMessage(*message, now);
    return std::move(outgoing_);
  }

  std::vector<Datagram> Tick(Time now) override {
    outgoing_.clear();
    CompensateForPause(now);
    ExpireMembers(now);
    if (members_.Self().member.state != MemberState::kLeft) {
      CheckProbes(now);
      ProbeIfDue(now);
      JoinIfDue(now);
    }
    PushBroadcasts(now);
    return std::move(outgoing_);
  }

  void SetFact(const std::string& key, const std::string& value, bool expires,
               Time) override {
    const Fact fact = {Self().name, key, 0, value, expires};
    if (EncodedSize(fact) > max_fact_bytes_) {
      throw Error("set fact", key, "it is larger than half a datagram");
    }
    if (facts_.Set(Self(), key, value, expires)) {
      packer_.QueueBroadcast(FactTable::Key{key, Self().name},
                             members_.IsRelay());
    }
  }

  std::vector<Fact> Facts() const override { return facts_.List(); }

  std::vector<Member> Members() const override { return members_.List(); }

  std::uint64_t Generation() const override {
    return members_.Generation() + facts_.Generation();
  }

  std::vector<Datagram> Leave(Time now) override {
    outgoing_.clear();
    members_.MarkSelfLeft();
    packer_.QueueBroadcast(Self().name, members_.IsRelay());
    for (const std::string& name : schedule_.Sample(
             members_.Peers(Self().failure_domain), kLeaveFanout)) {
      Send({}, GossipType::kPush, name, now);
    }
    PushToOtherDomains(kLeaveFanout, now);
    return std::move(outgoing_);
  }

  void SetAddressHints(const std::vector<Address>& addresses) override {
    schedule_.SetAddressHints(addresses);
  }

  MembershipCounters Counters() const override {
    MembershipCounters out = counters_;
    out.bytes_sent = packer_.BytesSent();
    return out;
  }

 private:
  const Member& Self() const { return members_.Self().member; }

  GossipScope ScopeOf(const Member& member) const {
    return member.failure_domain == Self().failure_domain
               ? GossipScope::kOwnDomain
               : GossipScope::kOtherDomain;
  }

  bool SendTo(GossipMessage message, const Address& to, GossipScope scope,
              Time now) {
    std::optional<Datagram> datagram =
        packer_.Pack(std::move(message), to, scope, now);
    if (datagram) {
      outgoing_.push_back(std::move(*datagram));
    }
    return datagram.has_value();
  }

  // Includes the receiver's record unless it is alive, so that the receiver can
  // refute a suspicion.
  bool Send(GossipMessage message, GossipType type, const std::string& name,
            Time now) {
    const MemberRecord* peer = members_.Find(name);
    if (peer == nullptr) {
      return false;
    }
    message.type = type;
    if (peer->member.state != MemberState::kAlive) {
      message.members.push_back(*peer);
    }
    return SendTo(std::move(message), peer->member.address,
                  ScopeOf(peer->member), now);
  }

  void MergeMessage(const GossipMessage& message, Time now) {
    const bool broadcast = message.type != GossipType::kSyncItems;
    bool members_changed = false;
    for (const MemberRecord& record : message.members) {
      const std::uint64_t incarnation = Self().incarnation;
      const MemberTable::MergeResult merged = members_.Merge(record, now);
      members_changed |= merged != MemberTable::MergeResult::kNothing;
      if (merged == MemberTable::MergeResult::kRefuted ||
          (merged == MemberTable::MergeResult::kChanged && broadcast)) {
        packer_.QueueBroadcast(record.member.name, members_.IsRelay());
      }
      if (Self().incarnation != incarnation) {
        facts_.RaiseVersions(Self());
      }
    }
    if (members_changed) {
      facts_.DropOrphans(members_);
    }
    for (const Fact& fact : message.facts) {
      if (facts_.Merge(fact, members_) && (broadcast || !fact.expires)) {
        packer_.QueueBroadcast(FactTable::Key{fact.key, fact.origin},
                               members_.IsRelay());
      }
    }
  }

  void HandleMessage(const GossipMessage& message, Time now) {
    const std::string& sender = message.members.front().member.name;
    switch (message.type) {
      case GossipType::kPing: {
        GossipMessage ack;
        ack.probe_sequence = message.sequence;
        Reply(ack, GossipType::kAck, message, now);
        break;
      }
      case GossipType::kAck:
        OnAck(message, now);
        break;
      case GossipType::kPingRequest:
        ProbeIndirectly(message, now);
        break;
      case GossipType::kSyncRequest:
        SendDifferences(message, now);
        SendDigest(GossipType::kSyncReply, sender, now);
        break;
      case GossipType::kSyncReply:
        SendDifferences(message, now);
        break;
      case GossipType::kPush:
      case GossipType::kSyncItems:
        break;
    }
  }

  // The sender is unknown if it announced that it left or the table is full.
  void Reply(const GossipMessage& answer, GossipType type,
             const GossipMessage& to, Time now) {
    const Member& sender = to.members.front().member;
    if (!Send(answer, type, sender.name, now) &&
        members_.Find(sender.name) == nullptr) {
      GossipMessage message = answer;
      message.type = type;
      SendTo(message, sender.address, ScopeOf(sender), now);
    }
  }

  void OnAck(const GossipMessage& message, Time now) {
    probes_.erase(message.probe_sequence);
    const std::map<std::uint64_t, IndirectProbe>::iterator it =
        indirect_probes_.find(message.probe_sequence);
    if (it != indirect_probes_.end()) {
      GossipMessage ack;
      ack.type = GossipType::kAck;
      ack.probe_sequence = it->second.origin_sequence;
      SendTo(ack, it->second.origin, GossipScope::kOwnDomain, now);
      indirect_probes_.erase(it);
    }
    if (message.digest != packer_.Digest().CombinedHash() &&
        now >= next_sync_) {
      next_sync_ = now + options_.probe_period;
      SendDigest(GossipType::kSyncRequest, message.members.front().member.name,
                 now);
    }
  }

  void ProbeIndirectly(const GossipMessage& message, Time now) {
    if (indirect_probes_.size() >= kMaxIndirectProbes) {
      return;
    }
    try {
      const Address subject = Address::Parse(message.probe_address);
      if (SendTo(GossipMessage{}, subject, GossipScope::kOwnDomain, now)) {
        indirect_probes_[packer_.LastSequence()] = {
            message.members.front().member.address, message.probe_sequence,
            now};
      }
    } catch (const Error&) {
      ++counters_.malformed;
    }
  }

  void SendDigest(GossipType type, const std::string& to, Time now) {
    GossipMessage message;
    message.bucket_hashes = packer_.Digest().BucketHashes();
    Send(message, type, to, now);
  }

  void SendDifferences(const GossipMessage& message, Time now) {
    const std::vector<Datagram> datagrams = packer_.PackDifferences(
        message.bucket_hashes, message.members.front().member.address, now);
    outgoing_.insert(outgoing_.end(), datagrams.begin(), datagrams.end());
  }

  // After a pause of this process, missing answers don't indicate failed peers.
  void CompensateForPause(Time now) {
    if (last_tick_ != Time::min() && now - last_tick_ > options_.probe_period) {
      probes_.clear();
      members_.ShiftDeadlines(now - last_tick_);
    }
    last_tick_ = now;
  }

  void ExpireMembers(Time now) {
    const std::vector<std::string> changed = members_.Tick(now);
    for (const std::string& name : changed) {
      if (members_.Find(name) == nullptr) {
        replay_guard_.Forget(name);
      } else {
        packer_.QueueBroadcast(name, members_.IsRelay());
      }
    }
    if (!changed.empty()) {
      facts_.DropOrphans(members_);
    }
  }

  void CheckProbes(Time now) {
    const Duration indirect_delay = options_.probe_period / 2;
    for (std::map<std::uint64_t, Probe>::iterator it = probes_.begin();
         it != probes_.end();) {
      const Duration silent = now - it->second.sent;
      if (silent >= kSuspectAfterProbePeriods * options_.probe_period) {
        if (members_.Suspect(it->second.member, now)) {
          packer_.QueueBroadcast(it->second.member, members_.IsRelay());
        }
        it = probes_.erase(it);
        continue;
      }
      if (silent >= indirect_delay && !it->second.indirect_requested) {
        it->second.indirect_requested = true;
        RequestIndirectProbes(it->first, it->second.member, now);
      }
      ++it;
    }
    std::erase_if(indirect_probes_,
                  [&](const std::pair<const std::uint64_t, IndirectProbe>& it) {
                    return now - it.second.sent >
                           kSuspectAfterProbePeriods * options_.probe_period;
                  });
  }

  void RequestIndirectProbes(std::uint64_t probe, const std::string& peer,
                             Time now) {
    const MemberRecord* record = members_.Find(peer);
    if (record == nullptr) {
      return;
    }
    for (const std::string& prober :
         schedule_.IndirectProbers(record->member)) {
      GossipMessage message;
      message.probe_address = record->member.address.ToString();
      message.probe_sequence = probe;
      Send(message, GossipType::kPingRequest, prober, now);
    }
  }

  void ProbeIfDue(Time now) {
    if (now < next_probe_) {
      return;
    }
    next_probe_ = now + options_.probe_period;
    ProbeOne(schedule_.NextInDomain(), now);
    if (members_.IsRelay()) {
      ProbeOne(schedule_.NextInOtherDomain(), now);
    }
  }

  void ProbeOne(const std::string& peer, Time now) {
    if (!peer.empty() && Send({}, GossipType::kPing, peer, now)) {
      probes_[packer_.LastSequence()] = {peer, now, false};
    }
  }

  void JoinIfDue(Time now) {
    if (now < next_join_) {
      return;
    }
    const bool no_peers = members_.Peers(Self().failure_domain).empty() &&
                          members_.OtherDomains().empty();
    next_join_ = now + (no_peers ? options_.probe_period : kJoinPeriod);
    if (const std::optional<Address> to = schedule_.NextJoinAddress()) {
      SendJoinPing(*to, now);
    }
  }

  void SendJoinPing(const Address& to, Time now) {
    GossipMessage message;
    if (const MemberRecord* dead = members_.FindDead(to)) {
      message.members.push_back(*dead);
    }
    SendTo(message, to, GossipScope::kOtherDomain, now);
  }

  void PushBroadcasts(Time now) {
    if (packer_.HasBroadcasts(GossipScope::kOwnDomain)) {
      for (const std::string& name : schedule_.BroadcastReceivers()) {
        Send({}, GossipType::kPush, name, now);
      }
    }
    if (packer_.HasBroadcasts(GossipScope::kOtherDomain)) {
      PushToOtherDomains(kDomainsPerPush, now);
    }
  }

  void PushToOtherDomains(std::size_t n, Time now) {
    for (const std::string& domain :
         schedule_.Sample(members_.OtherDomains(), n)) {
      for (const std::string& name :
           schedule_.Sample(members_.Relays(domain), 1)) {
        Send({}, GossipType::kPush, name, now);
      }
    }
  }

  const MembershipOptions options_;
  const std::size_t max_fact_bytes_;
  MemberTable members_;
  FactTable facts_;
  GossipPacker packer_;
  ProbeSchedule schedule_;
  ReplayGuard replay_guard_;
  MembershipCounters counters_;
  std::map<std::uint64_t, Probe> probes_;  // by sequence of the ping
  std::map<std::uint64_t, IndirectProbe>
      indirect_probes_;  // by sequence of the ping
  std::vector<Datagram> outgoing_;
  Time last_tick_ = Time::min();
  Time next_probe_ = Time::min();
  Time next_join_ = Time::min();
  Time next_sync_ = Time::min();
};

}  // namespace

std::unique_ptr<Membership> Membership::Make(const Member& self,
                                             const MembershipOptions& options) {
  if (self.name.empty() || self.incarnation >= kMaxIncarnation ||
      EncodedSize(MemberRecord{self, 0}) > kMaxSelfBytes) {
    throw Error("join group", self.name,
                "its name is empty, its record is too large or its incarnation "
                "is out of "
                "range");
  }
  return std::make_unique<MembershipImpl>(self, options);
}

}  // namespace hornbeamcleat
