#ifndef HORNBEAMCLEAT_SERVING_SERVING_SOURCE_H_
#define HORNBEAMCLEAT_SERVING_SERVING_SOURCE_H_

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/peer_state.h"
#include "hornbeamcleat/serving/route_table.h"
#include "hornbeamcleat/serving/serving_config.h"
#include "hornbeamcleat/serving/topic_report.h"
#include "hornbeamcleat/serving/version_move.h"

namespace hornbeamcleat {

/// Addresses and location of one VM.
struct VmRecord {
  std::string link;   ///< peer-facing address, IP:PORT
  std::string front;  ///< caller-facing address, IP:PORT
  std::string failure_domain;

  bool operator==(const VmRecord&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(link, front, failure_domain);
  }
};

/// Receives changes from the platform's store. Called on the control thread.
class ServingListener {
 public:
  virtual ~ServingListener() = default;

  /// Delivers a new configuration; versions only increase.
  virtual void OnConfig(std::shared_ptr<const RouteTable> table) = 0;
  /// Confirms that the last delivered configuration was current at `sent`, the
  /// time at which the read was sent, on the clock that includes VM suspension.
  virtual void OnConfirmed(Time sent) = 0;
  /// Delivers the complete list of usable targets.
  virtual void OnTargets(const std::vector<ServingTarget>& targets) = 0;
  /// Delivers the failure domains that operators have evacuated, after each
  /// change. Called before the confirmation of the read that showed the change.
  virtual void OnEvacuations(const std::set<std::string>& failure_domains) = 0;
  /// Delivers the complete list of registered VMs.
  virtual void OnMembers(const std::vector<VmRecord>& members) = 0;
  /// Delivers all recorded refusals of properties, once the store was read and
  /// after each change.
  virtual void OnRefusals(const std::vector<PropertyLoss>& refusals) = 0;
  /// Delivers all orders for version moves and their recorded states.
  virtual void OnMoves(const std::vector<MoveOrder>& orders,
                       const std::vector<MoveRecord>& records) = 0;
  /// Reports a read that reached the end of a topic, after what it returned was
  /// delivered. The era is 0 if the store states none.
  virtual void OnTopicRead(const TopicRead& read) = 0;
};

/// Long-poll timeouts and minimum intervals for reads of the store.
struct ReadPacing {
  Duration config_poll_timeout{0};  ///< of a long poll for a change
  Duration target_poll_timeout{0};
  Duration member_poll_timeout{0};
  Duration min_config_interval{0};  ///< between two reads that return changes
  Duration min_target_interval{0};

  bool operator==(const ReadPacing&) const = default;
};

/// Connection to the platform's store. Notifies one listener until destroyed.
class ServingSource {
 public:
  virtual ~ServingSource() = default;

  /// Registers this VM and keeps the registration alive until Withdraw.
  virtual void Announce(const VmRecord& self) = 0;
  /// Removes this VM's registration.
  virtual void Withdraw() = 0;
  /// Removes the registration of a VM that has permanently left.
  virtual void Remove(const VmRecord& gone) = 0;

  /// Writes the state of a move, unless the store already holds a final state
  /// or has changed since the last OnMoves. Calls during a pending write are
  /// ignored; callers retry until the record is read back.
  virtual void RecordMove(const MoveRecord& record) = 0;

  /// Records that requests with a property are refused, for VMs that start.
  /// Calls are not repeated; callers retry until the record is read back.
  virtual void RecordRefusal(const PropertyLoss& refusal) = 0;
  /// Removes such a record.
  virtual void RemoveRefusal(RequestProperty property) = 0;

  /// Applies new timeouts and intervals from the next read on.
  virtual void SetPacing(const ReadPacing& pacing) = 0;

  /// Sets how this VM reads a topic. By default it never pauses.
  virtual void SetReadDuty(SharedTopic topic, const ReadDuty& duty) = 0;
  /// Applies what a peer's read proves: if this VM has read as far, its state
  /// was current at that time; if not, it reads at once.
  virtual void OnTopicProof(const TopicProof& proof) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_SERVING_SOURCE_H_
