#ifndef HORNBEAMCLEAT_SRC_SERVING_SHARED_READS_H_
#define HORNBEAMCLEAT_SRC_SERVING_SHARED_READS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/topic_report.h"

namespace hornbeamcleat {

/// Part of a VM in reading a topic for its failure domain.
enum class ReadRole {
  kAlone,     ///< polls for itself
  kReader,    ///< polls at short intervals and reports to its peers
  kStandby,   ///< polls as if alone and reports to its peers
  kFollower,  ///< doesn't poll while reports prove its state current
};

/// Returns the role's name for logs.
const char* ReadRoleName(ReadRole role);

/// Returns the topic's name for logs and metrics.
const char* SharedTopicName(SharedTopic topic);

inline constexpr std::array<SharedTopic, 2> kSharedTopics = {
    SharedTopic::kConfig, SharedTopic::kTargets};

/// Decides which VMs of a failure domain poll a topic, and how long a peer's
/// read proves the state of this VM current.
///
/// Handles tens to hundreds of VMs that poll topics which rarely change. Who
/// reads is a function of which VMs are heard, so that two VMs may read, or
/// none, for as long as their views differ.
///
/// A message may be delayed by any time. Each VM sends peers timestamps of its
/// own clock; a reader returns the latest one with its report. The report was
/// made after the timestamp, so the read was sent no earlier than the timestamp
/// minus the age of the read.
///
/// All times are on the clock that includes VM suspension. Holds one timestamp
/// for each VM heard in the failure domain.
class SharedReads {
 public:
  struct Options {
    Duration key_limit{0};   ///< maximum time a revoked key may be accepted
    Duration drain_time{0};  ///< how long a draining target accepts requests

    bool operator==(const Options&) const = default;
  };

  /// A VM of the same failure domain that is heard from.
  struct Peer {
    std::string link;
    bool is_ready = false;  ///< its configuration is current
  };

  /// Report for one peer.
  struct Outgoing {
    std::string link;
    SharedReadsMessage message;
  };

  /// @param self link of this VM
  explicit SharedReads(std::string self) : self_(std::move(self)) {}

  void SetOptions(const Options& options) { options_ = options; }
  /// @param incarnation of this process, as peers know it
  void SetIncarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }
  /// While disabled, all VMs read alone and nothing is sent.
  void SetEnabled(bool is_enabled) { is_enabled_ = is_enabled; }

  /// Returns a message with a timestamp for the failure domain, unless one was
  /// sent a short time ago.
  std::optional<SharedReadsMessage> TakeStamp(Time boot_now);

  /// Records a peer's timestamp, if the message has one. Messages must be
  /// passed in the order in which they were sent.
  void OnStamp(const std::string& link, std::uint64_t incarnation,
               const SharedReadsMessage& message);

  /// Records that a read of this VM has succeeded.
  void OnOwnRead(const TopicRead& read, Time boot_now);

  /// Decides the roles of this VM.
  /// @param peers all VMs of the failure domain that are heard from
  /// @return topics whose role has changed
  std::vector<SharedTopic> UpdateRoles(const std::vector<Peer>& peers,
                                       bool self_is_ready, Time boot_now);

  ReadRole RoleOf(SharedTopic topic) const {
    return topics_[static_cast<std::size_t>(topic)].role;
  }
  ReadDuty DutyOf(SharedTopic topic) const;

  /// Returns the reports that are due after a read of this VM.
  std::vector<Outgoing> ReportsOf(const TopicRead& read, Time boot_now) const;

  /// Returns what a peer's report proves, or nullopt if this VM doesn't rely on
  /// reports or can't date it.
  std::optional<TopicProof> Accept(const TopicReport& report,
                                   const std::optional<ClockEcho>& echo,
                                   Time boot_now) const;

  /// Age of a proof from which on this VM reads the topic itself. Differs
  /// between VMs, so that they don't all read at the same time.
  Duration LimitOf(SharedTopic topic) const;

 private:
  struct Stamp {
    std::uint64_t incarnation = 0;
    std::uint64_t stamp_us = 0;
    bool can_read = false;
  };
  struct Topic {
    ReadRole role = ReadRole::kAlone;
    /// Latest read, or when the role began.
    Time active_at;
  };

  bool HasDuty(SharedTopic topic) const {
    const ReadRole role = RoleOf(topic);
    return role == ReadRole::kReader || role == ReadRole::kStandby;
  }
  /// LimitOf without the part that differs between VMs.
  Duration BaseLimitOf(SharedTopic topic) const;
  ReadRole DecideRole(SharedTopic topic, const std::vector<Peer>& peers,
                      bool self_is_candidate) const;

  const std::string self_;
  Options options_;
  std::uint64_t incarnation_ = 0;
  bool is_enabled_ = false;
  std::optional<std::uint64_t> last_stamp_us_;
  std::map<std::string, Stamp> stamps_;  ///< latest of each peer, by link
  std::array<Topic, kSharedTopics.size()> topics_;
  /// False after reads failed that this VM had to do for others, until one
  /// succeeds.
  bool can_read_ = true;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_SERVING_SHARED_READS_H_
