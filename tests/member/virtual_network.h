#ifndef HORNBEAMCLEAT_TESTS_MEMBER_VIRTUAL_NETWORK_H_
#define HORNBEAMCLEAT_TESTS_MEMBER_VIRTUAL_NETWORK_H_

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "hornbeamcleat/member/membership.h"

namespace hornbeamcleat {

/// Simulated network of members in virtual time, with fixed seeds.
class VirtualNetwork {
 public:
  /// Whether a datagram between two members, given by index, is dropped.
  using Drop = std::function<bool(std::size_t from, std::size_t to)>;

  explicit VirtualNetwork(MembershipOptions options)
      : options_(std::move(options)) {
    options_.key = "secret";
  }

  /// Adds a member, or restarts it with a greater incarnation after Stop.
  void Start(std::size_t n, const std::string& domain) {
    Member self;
    self.name = fmt::format("m{:03}", n);
    self.address = AddressOf(n);
    self.caller_url = "http://" + self.address.ToString();
    self.failure_domain = domain;
    self.region = "r1";
    self.incarnation = ++incarnation_;
    MembershipOptions options = options_;
    options.seed = n + 1;
    options.seeds = {AddressOf(0), AddressOf(1)};
    members_[n] = Membership::Make(self, options);
  }

  void Stop(std::size_t n) { members_.erase(n); }

  /// Adds `domains` domains of `per_domain` members each.
  void StartAll(std::size_t domains, std::size_t per_domain) {
    for (std::size_t i = 0; i < domains * per_domain; ++i) {
      Start(i, fmt::format("d{}", i % domains));
    }
  }

  void Run(Duration d) {
    const Time end = now_ + d;
    while (now_ < end) {
      now_ += kTick;
      Deliver();
      for (auto& [n, member] : members_) {
        if (!paused_.contains(n)) {
          Send(n, member->Tick(now_));
        }
      }
    }
  }

  /// Runs until `done` is true. Returns the time taken, or -1 s on timeout.
  Duration RunUntil(Duration most, const std::function<bool()>& done) {
    const Time start = now_;
    while (now_ < start + most) {
      if (done()) {
        return now_ - start;
      }
      Run(kTick);
    }
    return std::chrono::seconds(-1);
  }

  void Send(std::size_t from, const std::vector<Datagram>& datagrams) {
    for (const Datagram& datagram : datagrams) {
      const std::size_t to = datagram.to.port - kFirstPort;
      if (!drop_ || !drop_(from, to)) {
        in_flight_.emplace(now_ + kDelay, std::make_pair(from, datagram));
      }
    }
  }

  /// Number of members that member `n` sees as up, including itself.
  std::size_t CountUpSeenBy(std::size_t n) const {
    std::size_t up = 0;
    for (const Member& member : members_.at(n)->Members()) {
      const bool is_up = member.state == MemberState::kAlive ||
                         member.state == MemberState::kSuspect;
      up += is_up ? 1 : 0;
    }
    return up;
  }

  bool AllSee(std::size_t up) const {
    for (const auto& [n, member] : members_) {
      if (CountUpSeenBy(n) != up) {
        return false;
      }
    }
    return true;
  }

  /// Number of members that know `key` with `value`.
  std::size_t CountKnowingFact(const std::string& key,
                               const std::string& value) const {
    std::size_t count = 0;
    for (const auto& [n, member] : members_) {
      for (const Fact& fact : member->Facts()) {
        count += fact.key == key && fact.value == value ? 1 : 0;
      }
    }
    return count;
  }

  Membership& At(std::size_t n) { return *members_.at(n); }
  std::size_t Size() const { return members_.size(); }
  Time Now() const { return now_; }
  void SetDrop(Drop drop) { drop_ = std::move(drop); }
  void SetPaused(std::size_t n, bool paused) {
    paused ? static_cast<void>(paused_[n] = true)
           : static_cast<void>(paused_.erase(n));
  }

  static Address AddressOf(std::size_t n) {
    return {"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + n)};
  }

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(20);
  static constexpr Duration kDelay = std::chrono::milliseconds(1);
  static constexpr std::uint16_t kFirstPort = 1'000;

  // Also delivers replies that arrive within the tick.
  void Deliver() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const auto [at, packet] = *in_flight_.begin();
      in_flight_.erase(in_flight_.begin());
      const std::size_t to = packet.second.to.port - kFirstPort;
      if (members_.contains(to) && !paused_.contains(to)) {
        const Time present = now_;
        now_ = at;
        Send(to, members_.at(to)->OnDatagram(AddressOf(packet.first),
                                             packet.second.bytes, present));
        now_ = present;
      }
    }
  }

  MembershipOptions options_;
  std::map<std::size_t, std::unique_ptr<Membership>> members_;
  std::map<std::size_t, bool> paused_;
  std::multimap<Time, std::pair<std::size_t, Datagram>> in_flight_;
  Drop drop_;
  Time now_{std::chrono::seconds(100)};
  std::uint64_t incarnation_ = 1'000;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_MEMBER_VIRTUAL_NETWORK_H_
