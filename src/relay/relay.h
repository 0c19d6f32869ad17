#ifndef HORNBEAMCLEAT_SRC_RELAY_RELAY_H_
#define HORNBEAMCLEAT_SRC_RELAY_RELAY_H_

#include <functional>
#include <memory>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/serving/serving_source.h"
#include "src/relay/relay_options.h"

namespace hornbeamcleat {

class Clock;
class HttpCodec;
class Metrics;
class PollLoop;
struct ScalePlan;

/// Traffic side of one VM: takes requests from callers, places them at targets
/// together with its peers, and passes the answers on. Everything runs on one
/// loop; what the control thread learns is posted there.
class Relay {
 public:
  /// What the relay asks of the control thread; called on the loop.
  struct Callbacks {
    /// A VM is gone for good.
    std::function<void(const VmRecord&)> remove_member;
    /// The number of VMs calls for other intervals.
    std::function<void(const ScalePlan&)> on_scale;
    /// What became of a move; asked again until it is read back.
    std::function<void(const MoveRecord&)> record_move;
  };

  /// Opens all addresses.
  /// @throws Error with step "listen" or "open link"
  static std::unique_ptr<Relay> Make(PollLoop* loop, const Clock* clock,
                                     const HttpCodec* dialect, Metrics* metrics,
                                     const RelayOptions& options,
                                     Callbacks wishes);

  virtual ~Relay() = default;

  virtual void SetConfig(std::shared_ptr<const RouteTable> table) = 0;
  virtual void OnConfigConfirmed(Time sent) = 0;
  virtual void SetTargets(const std::vector<ServingTarget>& targets) = 0;
  virtual void SetMembers(const std::vector<VmRecord>& members) = 0;
  virtual void SetMoves(const std::vector<MoveOrder>& orders,
                        const std::vector<MoveRecord>& records) = 0;

  /// Applies what may change while running: limits, bounds and budgets.
  virtual void SetOptions(const RelayOptions& options) = 0;

  /// Begins a planned stop: not ready, then no new work.
  virtual void Drain() = 0;
  /// Whether the planned stop is over and the process may exit.
  virtual bool IsDrained() const = 0;

  /// Address for callers, with the port that was picked.
  virtual Address CallerAddress() const = 0;

  /// This VM, as announced to others.
  virtual VmRecord SelfRecord() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_RELAY_H_
