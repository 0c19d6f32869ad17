#ifndef HORNBEAMCLEAT_SERVING_SERVING_SOURCE_H_
#define HORNBEAMCLEAT_SERVING_SERVING_SOURCE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/route_table.h"
#include "hornbeamcleat/serving/serving_config.h"
#include "hornbeamcleat/serving/version_move.h"

namespace hornbeamcleat {

/// Where a VM of the system is found.
struct VmRecord {
  std::string link;   ///< address for its peers, IP:PORT
  std::string front;  ///< address for callers, IP:PORT
  std::string failure_domain;

  bool operator==(const VmRecord&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(link, front, failure_domain);
  }
};

/// Takes what the platform's store says. Called on the control thread.
class ServingListener {
 public:
  virtual ~ServingListener() = default;

  /// Newest configuration; versions only rise.
  virtual void OnConfig(std::shared_ptr<const RouteTable> table) = 0;
  /// A read sent at `sent`, by the clock that counts suspensions, has shown
  /// that the last configuration is the newest.
  virtual void OnConfirmed(Time sent) = 0;
  /// All targets to use, whole list.
  virtual void OnTargets(const std::vector<ServingTarget>& targets) = 0;
  /// All VMs that have announced themselves, whole list.
  virtual void OnMembers(const std::vector<VmRecord>& members) = 0;
  /// All orders for moves between versions, and what is recorded of them.
  virtual void OnMoves(const std::vector<MoveOrder>& orders,
                       const std::vector<MoveRecord>& records) = 0;
};

/// How a VM reads the store.
struct ReadPacing {
  Duration config_poll_timeout{0};  ///< of a read that waits for a change
  Duration target_poll_timeout{0};
  Duration member_poll_timeout{0};
  Duration min_config_interval{
      0};  ///< least time between two reads that bring changes
  Duration min_target_interval{0};

  bool operator==(const ReadPacing&) const = default;
};

/// Connection to the platform's store. Reports to one listener until it is
/// destroyed.
class ServingSource {
 public:
  virtual ~ServingSource() = default;

  /// Announces this VM until Withdraw.
  virtual void Announce(const VmRecord& self) = 0;
  /// Takes the announcement back.
  virtual void Withdraw() = 0;
  /// Removes the announcement of a VM that is gone for good.
  virtual void Remove(const VmRecord& gone) = 0;

  /// Records what becomes of a move, unless the store has a record of its end
  /// or of another step since the last OnMoves. Calls while one is under way
  /// are left out; ask again until the record is read back.
  virtual void RecordMove(const MoveRecord& record) = 0;

  /// Reads at another pace from the next read on.
  virtual void SetPacing(const ReadPacing& pacing) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_SERVING_SOURCE_H_
