#include "src/serving/shared_reads.h"

#include <algorithm>
#include <utility>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A reader and a standby together send 3.7 polls a second, which is what four
/// VMs send that poll alone.
constexpr int kMinSharingVms = 5;
/// A proof's age at which VMs start to read themselves, as percentages of the
/// limits. A change that all readers miss is then found at most 2.6 s after it
/// where keys are accepted for 5 s, and targets drain for 3 s.
constexpr int kConfigLimitPercent = 44;
constexpr int kTargetLimitPercent = 73;
/// Keeps the limit for the configuration below config_apply_ms (3 s) where the
/// limit on keys is longer than usual.
constexpr Duration kMaxLimit = milliseconds(2'200);
/// VMs differ in the limit by up to this fraction (1/N) of it.
constexpr int kLimitSpreadDivisor = 6;
/// Below this, proofs would often be too old on arrival.
constexpr Duration kMinLimit = milliseconds(1'500);
/// A long poll proves the state at its start. Between the arrivals of two
/// proofs, the latest ages to twice the wait of the reader's polls and the age
/// of the returned timestamp, which together must stay below the limit.
constexpr int kReaderWaitDivisor = 3;
/// Minimum interval between two timestamps; short against the limits.
constexpr Duration kMinStampInterval = milliseconds(100);
/// Time without a read after which a VM that should read for others is
/// replaced. Longer than the longest poll and its time-out.
constexpr Duration kMaxReadSilence = milliseconds(4'500);
/// Reads of a greater age are not reported.
constexpr Duration kMaxReportedAge = std::chrono::seconds(10);

std::uint64_t ToMicroseconds(Time time) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, time.time_since_epoch() / microseconds(1)));
}

std::uint32_t ToMillisecondsRoundedUp(Duration age) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(std::max(Duration(0), age)).count());
}

}  // namespace

const char* ReadRoleName(ReadRole role) {
  switch (role) {
    case ReadRole::kAlone:
      return "alone";
    case ReadRole::kReader:
      return "reader";
    case ReadRole::kStandby:
      return "standby";
    case ReadRole::kFollower:
      return "follower";
  }
  return "alone";
}

const char* SharedTopicName(SharedTopic topic) {
  return topic == SharedTopic::kConfig ? "config" : "targets";
}

std::optional<SharedReadsMessage> SharedReads::TakeStamp(Time boot_now) {
  const std::uint64_t now_us = ToMicroseconds(boot_now);
  if (!is_enabled_ ||
      (last_stamp_us_.has_value() &&
       now_us < *last_stamp_us_ + kMinStampInterval / microseconds(1))) {
    return std::nullopt;
  }
  last_stamp_us_ = now_us;
  return SharedReadsMessage{now_us, can_read_, std::nullopt, {}};
}

void SharedReads::OnStamp(const std::string& link, std::uint64_t incarnation,
                          const SharedReadsMessage& message) {
  if (is_enabled_ && message.stamp_us.has_value()) {
    stamps_[link] = {incarnation, *message.stamp_us, message.can_read};
  }
}

void SharedReads::OnOwnRead(const TopicRead& read, Time boot_now) {
  can_read_ = true;
  topics_[static_cast<std::size_t>(read.topic)].active_at = boot_now;
}

std::vector<SharedTopic> SharedReads::UpdateRoles(
    const std::vector<Peer>& peers, bool self_is_ready, Time boot_now) {
  std::erase_if(stamps_, [&](const auto& item) {
    return !is_enabled_ ||
           std::none_of(peers.begin(), peers.end(), [&](const Peer& peer) {
             return peer.link == item.first;
           });
  });
  for (const SharedTopic topic : kSharedTopics) {
    const Time active_at = topics_[static_cast<std::size_t>(topic)].active_at;
    if (HasDuty(topic) && boot_now - active_at > kMaxReadSilence) {
      can_read_ = false;
    }
  }
  std::vector<SharedTopic> changed;
  for (const SharedTopic topic : kSharedTopics) {
    const ReadRole role = DecideRole(topic, peers, self_is_ready && can_read_);
    if (role != RoleOf(topic)) {
      topics_[static_cast<std::size_t>(topic)] = {role, boot_now};
      changed.push_back(topic);
    }
  }
  return changed;
}

// A peer that sends no timestamps runs without shared reads and reports
// nothing. One that isn't ready may have no way to the store.
ReadRole SharedReads::DecideRole(SharedTopic topic,
                                 const std::vector<Peer>& peers,
                                 bool self_is_candidate) const {
  if (!is_enabled_ || BaseLimitOf(topic) < kMinLimit) {
    return ReadRole::kAlone;
  }
  const std::uint64_t seed = Hash64(SharedTopicName(topic));
  const std::uint64_t own = Hash64(self_, seed);
  int candidates = self_is_candidate ? 1 : 0;
  int rank = 0;
  for (const Peer& peer : peers) {
    const auto stamp = stamps_.find(peer.link);
    if (peer.is_ready && stamp != stamps_.end() && stamp->second.can_read) {
      ++candidates;
      rank += Hash64(peer.link, seed) < own ? 1 : 0;
    }
  }
  if (candidates < kMinSharingVms) {
    return ReadRole::kAlone;
  }
  if (!self_is_candidate || rank > 1) {
    return ReadRole::kFollower;
  }
  return rank == 0 ? ReadRole::kReader : ReadRole::kStandby;
}

ReadDuty SharedReads::DutyOf(SharedTopic topic) const {
  switch (RoleOf(topic)) {
    case ReadRole::kReader:
      return {false, BaseLimitOf(topic) / kReaderWaitDivisor};
    case ReadRole::kFollower:
      return {true, Duration(0)};
    case ReadRole::kAlone:
    case ReadRole::kStandby:
      break;
  }
  return {};
}

std::vector<SharedReads::Outgoing> SharedReads::ReportsOf(const TopicRead& read,
                                                          Time boot_now) const {
  std::vector<Outgoing> reports;
  const Duration age = boot_now - read.sent;
  if (!HasDuty(read.topic) || age < Duration(0) || age > kMaxReportedAge) {
    return reports;
  }
  TopicReport report;
  report.topic = static_cast<std::uint8_t>(read.topic);
  report.era = read.era;
  report.end = read.end;
  report.age_ms = ToMillisecondsRoundedUp(age);
  if (read.regained.has_value() &&
      boot_now - *read.regained <= kMaxReportedAge) {
    report.regained_age_ms = ToMillisecondsRoundedUp(boot_now - *read.regained);
  }
  for (const auto& [link, stamp] : stamps_) {
    reports.push_back({link,
                       {std::nullopt,
                        false,
                        ClockEcho{stamp.incarnation, stamp.stamp_us},
                        {report}}});
  }
  return reports;
}

std::optional<TopicProof> SharedReads::Accept(
    const TopicReport& report, const std::optional<ClockEcho>& echo,
    Time boot_now) const {
  if (report.topic >= kSharedTopics.size() || !echo.has_value() ||
      echo->incarnation != incarnation_ || !last_stamp_us_.has_value() ||
      echo->stamp_us > *last_stamp_us_) {
    return std::nullopt;
  }
  TopicProof proof;
  proof.topic = static_cast<SharedTopic>(report.topic);
  if (RoleOf(proof.topic) != ReadRole::kFollower) {
    return std::nullopt;
  }
  proof.era = report.era;
  proof.end = report.end;
  proof.at = Time(microseconds(static_cast<std::int64_t>(echo->stamp_us))) -
             milliseconds(report.age_ms);
  proof.hold_until = proof.at + LimitOf(proof.topic);
  if (report.regained_age_ms.has_value()) {
    // Counting from the arrival is too late at worst, and then one list too
    // many.
    proof.list_after = boot_now - milliseconds(*report.regained_age_ms);
  }
  return proof;
}

Duration SharedReads::BaseLimitOf(SharedTopic topic) const {
  return topic == SharedTopic::kConfig
             ? std::min(kMaxLimit,
                        options_.key_limit * kConfigLimitPercent / 100)
             : std::min(kMaxLimit,
                        options_.drain_time * kTargetLimitPercent / 100);
}

Duration SharedReads::LimitOf(SharedTopic topic) const {
  const Duration base = BaseLimitOf(topic);
  const Duration spread = base / kLimitSpreadDivisor + microseconds(1);
  return base + microseconds(Hash32(self_) % spread.count());
}

}  // namespace hornbeamcleat
