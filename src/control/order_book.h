#ifndef HORNBEAMCLEAT_SRC_CONTROL_ORDER_BOOK_H_
#define HORNBEAMCLEAT_SRC_CONTROL_ORDER_BOOK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/config/config_state.h"
#include "hornbeamcleat/move/load_command_planner.h"

namespace hornbeamcleat {

/// Target to read back, for one version.
struct TargetToObserve {
  TargetName target;
  std::string address;
  std::string model;
  std::string version;

  bool operator==(const TargetToObserve&) const = default;
};

/// Order with the address that it goes to.
struct AddressedOrder {
  LoadCommand order;
  std::string address;

  bool operator==(const AddressedOrder&) const = default;
};

/// Orders to the targets of all moves under way. Plain services need none and
/// count as ready. Has no I/O; not thread-safe.
class OrderBook {
 public:
  /// @param longest_order as LeaseOptions::longest_order
  explicit OrderBook(Duration longest_order);

  /// Targets of new versions, which should be read back.
  std::vector<TargetToObserve> ToObserve(const ConfigState& config) const;

  /// Takes what a target said of a version; `sent` is when it was asked.
  void OnObserved(const TargetToObserve& target, LoadState state, Time sent);

  /// Orders to send now. Call only while the lease is held.
  std::vector<AddressedOrder> Plan(const ConfigState& config,
                                   std::uint64_t fencing, Time held_since,
                                   Time now);

  /// Counts a target that could not be asked; after some it counts as dead.
  void OnObserveFailed(const TargetToObserve& target);

  /// Targets of each new version that can still come to have it. Those that
  /// died or failed to load it are left out, so that they don't stop the move.
  const std::map<std::string, int>& Attainable() const { return attainable_; }

  /// Targets ready with each new version.
  std::map<std::string, int> Ready(const ConfigState& config) const;

 private:
  using TargetVersion = std::pair<TargetName, std::string>;

  struct Seen {
    LoadState state = LoadState::kUnknown;
    Time sent;
    int failures = 0;  // in a row
  };

  Duration longest_order_;
  std::map<TargetVersion, Seen> seen_;
  std::map<std::string, int> attainable_;  // by version
  std::map<std::string, std::unique_ptr<LoadCommandPlanner>>
      planners_;  // by version
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_CONTROL_ORDER_BOOK_H_
