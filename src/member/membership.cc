#include "hornbeamcleat/member/membership.h"

#include <algorithm>
#include <random>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "src/member/gossip_packer.h"
#include "src/member/replay_guard.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxSelfBytes = 400;
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 43;
constexpr int kProbeTimeouts = 2;  // probe periods until a member is suspect
constexpr std::size_t kHelpers = 2;
constexpr std::size_t kPushes = 2;  // datagrams of news in one tick
constexpr std::size_t kLeavePushes = 8;
constexpr std::size_t kSyncDatagrams = 2;
constexpr std::size_t kMaxForwards = 256;
constexpr int kRelayShare = 4;  // one probe in so many goes to no relay
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
        random_(options.seed) {}

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
      packer_.AddNews(FactTable::Key{key, Self().name}, IsRelay());
    }
  }

  std::vector<Fact> Facts() const override {
    std::vector<Fact> out;
    out.reserve(facts_.All().size());
    for (const auto& [key, fact] : facts_.All()) {
      out.push_back(fact);
    }
    return out;
  }

  std::vector<Member> Members() const override {
    std::vector<Member> out;
    out.reserve(members_.Records().size());
    for (const auto& [name, record] : members_.Records()) {
      out.push_back(record.member);
    }
    return out;
  }

  std::uint64_t Generation() const override {
    return members_.Generation() + facts_.Generation();
  }

  std::vector<Datagram> Leave(Time now) override {
    out_.clear();
    members_.LeaveSelf();
    packer_.AddNews(Self().name, IsRelay());
    for (const std::string& name :
         Sample(members_.Peers(Self().failure_domain), kLeavePushes)) {
      Send({}, GossipType::kPush, name, now);
    }
    PushToOtherDomains(kLeavePushes, now);
    return std::move(out_);
  }

  void Hint(const std::vector<Address>& addresses) override {
    hints_ = addresses;
  }

  MembershipCounters Counters() const override {
    MembershipCounters out = counters_;
    out.bytes_sent = packer_.BytesSent();
    return out;
  }

 private:
  const Member& Self() const { return members_.Self().member; }

  bool IsRelay() const {
    const std::vector<std::string> relays =
        members_.Relays(Self().failure_domain);
    return std::find(relays.begin(), relays.end(), Self().name) != relays.end();
  }

  std::vector<std::string> Sample(std::vector<std::string> from,
                                  std::size_t n) {
    std::shuffle(from.begin(), from.end(), random_);
    from.resize(std::min(n, from.size()));
    return from;
  }

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
        packer_.AddNews(record.member.name, IsRelay());
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
        packer_.AddNews(FactTable::Key{fact.key, fact.origin}, IsRelay());
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
    if (message.buckets.size() != kDigestBuckets) {
      return;
    }
    const std::vector<std::uint32_t> own = packer_.Digest().Buckets();
    std::vector<GossipItem> items;
    for (const auto& [name, record] : members_.Records()) {
      const std::size_t n = GossipDigest::BucketOf(name);
      if (own[n] != message.buckets[n]) {
        items.emplace_back(name);
      }
    }
    for (const auto& [key, fact] : facts_.All()) {
      const std::size_t n = GossipDigest::BucketOf(key);
      if (own[n] != message.buckets[n]) {
        items.emplace_back(key);
      }
    }
    // Members go first, since facts of unknown origins are not taken.
    const std::ptrdiff_t facts_from =
        std::count_if(items.begin(), items.end(), [](const GossipItem& item) {
          return std::holds_alternative<std::string>(item);
        });
    std::shuffle(items.begin(), items.begin() + facts_from, random_);
    std::shuffle(items.begin() + facts_from, items.end(), random_);
    const Address to = message.members.front().member.address;
    std::size_t next = 0;
    for (std::size_t n = 0; n < kSyncDatagrams && next < items.size(); ++n) {
      std::optional<Datagram> datagram =
          packer_.PackItems(items, &next, to, now);
      if (!datagram) {
        return;
      }
      out_.push_back(std::move(*datagram));
    }
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
        packer_.AddNews(name, IsRelay());
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
          packer_.AddNews(it->second.target, IsRelay());
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
    std::vector<std::string> helpers =
        members_.Peers(record->member.failure_domain);
    std::erase(helpers, target);
    for (const std::string& helper : Sample(helpers, kHelpers)) {
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
    ProbeOne(NextInDomain(), now);
    if (IsRelay()) {
      ProbeOne(NextInOtherDomain(), now);
    }
  }

  void ProbeOne(const std::string& target, Time now) {
    if (!target.empty() && Send({}, GossipType::kPing, target, now)) {
      probes_[packer_.LastSequence()] = {target, now, false};
    }
  }

  // Each peer once a round, in random order, bounds the time to detection.
  std::string NextInDomain() {
    if (round_.empty()) {
      const std::vector<std::string> peers =
          members_.Peers(Self().failure_domain);
      round_ = Sample(peers, peers.size());
    }
    while (!round_.empty()) {
      std::string name = round_.back();
      round_.pop_back();
      const MemberRecord* record = members_.Find(name);
      if (record != nullptr && MemberTable::IsUp(*record)) {
        return name;
      }
    }
    return "";
  }

  std::string NextInOtherDomain() {
    if (domains_.empty()) {
      const std::vector<std::string> all = members_.OtherDomains();
      domains_ = Sample(all, all.size());
    }
    if (domains_.empty()) {
      return "";
    }
    const std::string domain = domains_.back();
    domains_.pop_back();
    const bool any = random_() % kRelayShare == 0;
    const std::vector<std::string> found =
        Sample(any ? members_.Peers(domain) : members_.Relays(domain), 1);
    return found.empty() ? "" : found.front();
  }

  // Tries addresses behind which nobody is known to be up: seeds, the
  // platform's hints and the dead. So a fresh member joins and a cut heals.
  void ReachIfDue(Time now) {
    if (now < next_reach_) {
      return;
    }
    std::vector<Address> up;
    std::vector<Address> wanted = options_.seeds;
    wanted.insert(wanted.end(), hints_.begin(), hints_.end());
    for (const auto& [name, record] : members_.Records()) {
      if (MemberTable::IsUp(record)) {
        up.push_back(record.member.address);
      } else if (record.member.state == MemberState::kDead) {
        wanted.push_back(record.member.address);
      }
    }
    next_reach_ = now + (up.size() > 1 ? kReachPeriod : options_.probe_period);
    std::erase_if(wanted, [&up](const Address& it) {
      return std::find(up.begin(), up.end(), it) != up.end();
    });
    if (wanted.empty()) {
      return;
    }
    Reach(wanted[random_() % wanted.size()], now);
  }

  void Reach(const Address& to, Time now) {
    GossipMessage message;
    for (const auto& [name, record] : members_.Records()) {
      if (record.member.address == to &&
          record.member.state == MemberState::kDead) {
        message.members.push_back(record);
        break;
      }
    }
    SendTo(message, to, GossipScope::kOtherDomain, now);
  }

  void PushNews(Time now) {
    if (packer_.HasNews(GossipScope::kDomain)) {
      const std::string& domain = Self().failure_domain;
      std::vector<std::string> targets =
          Sample(members_.Peers(domain), kPushes);
      if (!IsRelay() && !targets.empty()) {
        targets.front() = Sample(members_.Relays(domain), 1).front();
      }
      for (const std::string& name : targets) {
        Send({}, GossipType::kPush, name, now);
      }
    }
    if (packer_.HasNews(GossipScope::kOtherDomain)) {
      PushToOtherDomains(kPushes, now);
    }
  }

  void PushToOtherDomains(std::size_t n, Time now) {
    for (const std::string& domain : Sample(members_.OtherDomains(), n)) {
      for (const std::string& name : Sample(members_.Relays(domain), 1)) {
        Send({}, GossipType::kPush, name, now);
      }
    }
  }

  const MembershipOptions options_;
  const std::size_t max_fact_bytes_;
  MemberTable members_;
  FactTable facts_;
  GossipPacker packer_;
  ReplayGuard replays_;
  std::mt19937_64 random_;
  MembershipCounters counters_;
  std::vector<Address> hints_;
  std::map<std::uint64_t, Probe> probes_;      // by sequence of the ping
  std::map<std::uint64_t, Forward> forwards_;  // by sequence of the ping
  std::vector<std::string> round_;             // still to be probed
  std::vector<std::string> domains_;           // still to be probed
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
