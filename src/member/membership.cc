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
constexpr int kProbeTimeouts = 2;   // probe periods until a member is suspect
constexpr std::size_t kPushes = 2;  // datagrams of news in one tick
constexpr std::size_t kLeavePushes = 8;
constexpr std::size_t kMaxForwards = 256;
constexpr Duration kReachPeriod = std::chrono::seconds(2);

struct Probe {
  std::string target;
  Time sent;
  bool asked_helpers = false;
};

struct Forward {
  Address to;
  std::uint64_t answers = 0;
  Time since;
};

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
    out_.clear();
    const std::optional<GossipMessage> message =
        packer_.Open(bytes, &counters_);
    if (!message) {
      return {};
    }
    const Member& sender = message->members.front().member;
    if (sender.name == Self().name ||
        !replays_.Accept(sender.name, sender.incarnation, message->sequence)) {
      ++counters_.replayed;
      return {};
    }
    Absorb(*message, now);
    Answer(*message, now);
    return std::move(out_);
  }

  std::vector<Datagram> Tick(Time now) override {
    out_.clear();
    SkipPause(now);
    AgeMembers(now);
    if (members_.Self().member.state != MemberState::kLeft) {
      CheckProbes(now);
      ProbeIfDue(now);
      ReachIfDue(now);
    }
    PushNews(now);
    return std::move(out_);
  }

  void SetFact(const std::string& key, const std::string& value, bool expires,
               Time) override {
    const Fact fact = {Self().name, key, 0, value, expires};
    if (EncodedSize(fact) > max_fact_bytes_) {
      throw Error("set fact", key, "it is too large for a datagram");
    }
    if (facts_.Set(Self(), key, value, expires)) {
      packer_.AddNews(FactTable::Key{key, Self().name}, members_.IsRelay());
    }
  }

  std::vector<Fact> Facts() const override { return facts_.List(); }

  std::vector<Member> Members() const override { return members_.List(); }

  std::uint64_t Generation() const override {
    return members_.Generation() + facts_.Generation();
  }

  std::vector<Datagram> Leave(Time now) override {
    out_.clear();
    members_.LeaveSelf();
    packer_.AddNews(Self().name, members_.IsRelay());
    for (const std::string& name : schedule_.Sample(
             members_.Peers(Self().failure_domain), kLeavePushes)) {
      Send({}, GossipType::kPush, name, now);
    }
    PushToOtherDomains(kLeavePushes, now);
    return std::move(out_);
  }

  void Hint(const std::vector<Address>& addresses) override {
    schedule_.Hint(addresses);
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
               ? GossipScope::kDomain
               : GossipScope::kOtherDomain;
  }

  bool SendTo(GossipMessage message, const Address& to, GossipScope scope,
              Time now) {
    std::optional<Datagram> datagram =
        packer_.Pack(std::move(message), to, scope, now);
    if (datagram) {
      out_.push_back(std::move(*datagram));
    }
    return datagram.has_value();
  }

  // The receiver is told what is thought of it, so that it can refute.
  bool Send(GossipMessage message, GossipType type, const std::string& name,
            Time now) {
    const MemberRecord* target = members_.Find(name);
    if (target == nullptr) {
      return false;
    }
    message.type = type;
    if (target->member.state != MemberState::kAlive) {
      message.members.push_back(*target);
    }
    return SendTo(std::move(message), target->member.address,
                  ScopeOf(target->member), now);
  }

  void Absorb(const GossipMessage& message, Time now) {
    const bool news = message.type != GossipType::kItems;
    bool members_changed = false;
    for (const MemberRecord& record : message.members) {
      const std::uint64_t incarnation = Self().incarnation;
      const MemberTable::Merged merged = members_.Merge(record, now);
      members_changed |= merged != MemberTable::Merged::kNothing;
      if (merged == MemberTable::Merged::kRefuted ||
          (merged == MemberTable::Merged::kChanged && news)) {
        packer_.AddNews(record.member.name, members_.IsRelay());
      }
      if (Self().incarnation != incarnation) {
        facts_.Renew(Self());
      }
    }
    if (members_changed) {
      facts_.DropOrphans(members_);
    }
    for (const Fact& fact : message.facts) {
      if (facts_.Merge(fact, members_) && (news || !fact.expires)) {
        packer_.AddNews(FactTable::Key{fact.key, fact.origin},
                        members_.IsRelay());
      }
    }
  }

  void Answer(const GossipMessage& message, Time now) {
    const std::string& sender = message.members.front().member.name;
    switch (message.type) {
      case GossipType::kPing: {
        GossipMessage ack;
        ack.answers = message.sequence;
        Reply(ack, GossipType::kAck, message, now);
        break;
      }
      case GossipType::kAck:
        OnAck(message, now);
        break;
      case GossipType::kPingRequest:
        PingFor(message, now);
        break;
      case GossipType::kBuckets:
        SendDiffering(message, now);
        SendBuckets(GossipType::kBucketsReply, sender, now);
        break;
      case GossipType::kBucketsReply:
        SendDiffering(message, now);
        break;
      case GossipType::kPush:
      case GossipType::kItems:
        break;
    }
  }

  // A sender may be unknown here, if it is thought to have left.
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
    probes_.erase(message.answers);
    const std::map<std::uint64_t, Forward>::iterator it =
        forwards_.find(message.answers);
    if (it != forwards_.end()) {
      GossipMessage ack;
      ack.type = GossipType::kAck;
      ack.answers = it->second.answers;
      SendTo(ack, it->second.to, GossipScope::kDomain, now);
      forwards_.erase(it);
    }
    if (message.digest != packer_.Digest().Total() && now >= next_sync_) {
      next_sync_ = now + options_.probe_period;
      SendBuckets(GossipType::kBuckets, message.members.front().member.name,
                  now);
    }
  }

  void PingFor(const GossipMessage& message, Time now) {
    if (forwards_.size() >= kMaxForwards) {
      return;
    }
    try {
      const Address subject = Address::Parse(message.subject);
      if (SendTo(GossipMessage{}, subject, GossipScope::kDomain, now)) {
        forwards_[packer_.LastSequence()] = {
            message.members.front().member.address, message.answers, now};
      }
    } catch (const Error&) {
      ++counters_.malformed;
    }
  }

  void SendBuckets(GossipType type, const std::string& to, Time now) {
    GossipMessage message;
    message.buckets = packer_.Digest().Buckets();
    Send(message, type, to, now);
  }

  void SendDiffering(const GossipMessage& message, Time now) {
    const std::vector<Datagram> datagrams = packer_.PackDiffering(
        message.buckets, message.members.front().member.address, now);
    out_.insert(out_.end(), datagrams.begin(), datagrams.end());
  }

  // After a pause of this process, silence says nothing about the others.
  void SkipPause(Time now) {
    if (last_tick_ != Time::min() && now - last_tick_ > options_.probe_period) {
      probes_.clear();
      members_.ShiftDeadlines(now - last_tick_);
    }
    last_tick_ = now;
  }

  void AgeMembers(Time now) {
    const std::vector<std::string> changed = members_.Tick(now);
    for (const std::string& name : changed) {
      if (members_.Find(name) == nullptr) {
        replays_.Forget(name);
      } else {
        packer_.AddNews(name, members_.IsRelay());
      }
    }
    if (!changed.empty()) {
      facts_.DropOrphans(members_);
    }
  }

  void CheckProbes(Time now) {
    const Duration half = options_.probe_period / 2;
    for (std::map<std::uint64_t, Probe>::iterator it = probes_.begin();
         it != probes_.end();) {
      const Duration silent = now - it->second.sent;
      if (silent >= kProbeTimeouts * options_.probe_period) {
        if (members_.Suspect(it->second.target, now)) {
          packer_.AddNews(it->second.target, members_.IsRelay());
        }
        it = probes_.erase(it);
        continue;
      }
      if (silent >= half && !it->second.asked_helpers) {
        it->second.asked_helpers = true;
        AskHelpers(it->first, it->second.target, now);
      }
      ++it;
    }
    std::erase_if(
        forwards_, [&](const std::pair<const std::uint64_t, Forward>& it) {
          return now - it.second.since > kProbeTimeouts * options_.probe_period;
        });
  }

  void AskHelpers(std::uint64_t probe, const std::string& target, Time now) {
    const MemberRecord* record = members_.Find(target);
    if (record == nullptr) {
      return;
    }
    for (const std::string& helper : schedule_.Helpers(record->member)) {
      GossipMessage message;
      message.subject = record->member.address.ToString();
      message.answers = probe;
      Send(message, GossipType::kPingRequest, helper, now);
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

  void ProbeOne(const std::string& target, Time now) {
    if (!target.empty() && Send({}, GossipType::kPing, target, now)) {
      probes_[packer_.LastSequence()] = {target, now, false};
    }
  }

  void ReachIfDue(Time now) {
    if (now < next_reach_) {
      return;
    }
    const bool alone = members_.Peers(Self().failure_domain).empty() &&
                       members_.OtherDomains().empty();
    next_reach_ = now + (alone ? options_.probe_period : kReachPeriod);
    if (const std::optional<Address> to = schedule_.NextToReach()) {
      Reach(*to, now);
    }
  }

  void Reach(const Address& to, Time now) {
    GossipMessage message;
    if (const MemberRecord* dead = members_.FindDead(to)) {
      message.members.push_back(*dead);
    }
    SendTo(message, to, GossipScope::kOtherDomain, now);
  }

  void PushNews(Time now) {
    if (packer_.HasNews(GossipScope::kDomain)) {
      for (const std::string& name : schedule_.NewsReceivers()) {
        Send({}, GossipType::kPush, name, now);
      }
    }
    if (packer_.HasNews(GossipScope::kOtherDomain)) {
      PushToOtherDomains(kPushes, now);
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
  ReplayGuard replays_;
  MembershipCounters counters_;
  std::map<std::uint64_t, Probe> probes_;      // by sequence of the ping
  std::map<std::uint64_t, Forward> forwards_;  // by sequence of the ping
  std::vector<Datagram> out_;
  Time last_tick_ = Time::min();
  Time next_probe_ = Time::min();
  Time next_reach_ = Time::min();
  Time next_sync_ = Time::min();
};

}  // namespace

std::unique_ptr<Membership> Membership::Make(const Member& self,
                                             const MembershipOptions& options) {
  if (self.name.empty() || self.incarnation >= kMaxIncarnation ||
      EncodedSize(MemberRecord{self, 0}) > kMaxSelfBytes) {
    throw Error("join group", self.name,
                "its name, addresses or incarnation are out of bounds");
  }
  return std::make_unique<MembershipImpl>(self, options);
}

}  // namespace hornbeamcleat
