#ifndef HORNBEAMCLEAT_SERVING_TOPIC_REPORT_H_
#define HORNBEAMCLEAT_SERVING_TOPIC_REPORT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "hornbeamcleat/base/time.h"

namespace hornbeamcleat {

/// Topics of the store whose reads VMs share. The values are sent to peers.
enum class SharedTopic : std::uint8_t {
  kConfig = 0,   ///< configuration and operators' orders
  kTargets = 1,  ///< records of targets
};

/// A read of a topic by this VM that reached the topic's end. All times are on
/// the clock that includes VM suspension.
struct TopicRead {
  SharedTopic topic = SharedTopic::kConfig;
  std::uint64_t era = 0;  ///< of the store
  std::uint64_t end = 0;  ///< offset after the topic's last record
  Time sent;              ///< when the read was sent
  /// When the store became reachable again after its latest outage, if it had
  /// one.
  std::optional<Time> regained;

  bool operator==(const TopicRead&) const = default;
};

/// A peer's read of a topic, dated on this VM's clock.
struct TopicProof {
  SharedTopic topic = SharedTopic::kConfig;
  std::uint64_t era = 0;
  std::uint64_t end = 0;
  Time at;          ///< no later than the time at which the read was sent
  Time hold_until;  ///< until when a VM at this offset need not read
  /// A VM whose list of the topic is older must list it again.
  std::optional<Time> list_after;

  bool operator==(const TopicProof&) const = default;
};

/// How a VM reads a topic.
struct ReadDuty {
  bool may_pause = false;  ///< while proofs of peers are recent enough
  Duration max_wait{0};    ///< limit of long polls; 0: as the pacing says

  bool operator==(const ReadDuty&) const = default;
};

/// TopicRead as sent to peers.
struct TopicReport {
  std::uint8_t topic = 0;
  std::uint64_t era = 0;
  std::uint64_t end = 0;
  std::uint32_t age_ms = 0;  ///< time since the read was sent, rounded up
  /// Time since the store became reachable again, if that was recent.
  std::optional<std::uint32_t> regained_age_ms;

  bool operator==(const TopicReport&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(topic, era, end, age_ms, regained_age_ms);
  }
};

/// A receiver's own timestamp, returned to it. Dates what it comes with.
struct ClockEcho {
  std::uint64_t incarnation = 0;  ///< of the receiver's process
  std::uint64_t stamp_us = 0;

  bool operator==(const ClockEcho&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(incarnation, stamp_us);
  }
};

/// Part of a peer message that serves shared reads of the store.
struct SharedReadsMessage {
  /// Sender's clock, which includes suspension. Only the sender can interpret
  /// it.
  std::optional<std::uint64_t> stamp_us;
  bool can_read = false;  ///< with `stamp_us`: the sender's reads succeed
  std::optional<ClockEcho> echo;  ///< with `reports`
  std::vector<TopicReport> reports;

  bool operator==(const SharedReadsMessage&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(stamp_us, can_read, echo, reports);
  }
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_TOPIC_REPORT_H_
