#ifndef HORNBEAMCLEAT_SRC_RELAY_RELAY_H_
#define HORNBEAMCLEAT_SRC_RELAY_RELAY_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
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

/// Data plane of one VM: accepts requests from callers, places them at targets
/// in coordination with its peers, and forwards the responses. Runs on a single
/// loop; the control thread posts its updates there.
class Relay {
 public:
  /// Requests to the control thread; called on the loop.
  struct Callbacks {
    /// Removes the announcement of a VM that has failed permanently.
    std::function<void(const VmRecord&)> remove_member;
    /// The number of VMs requires other intervals.
    std::function<void(const ScalePlan&)> on_scale;
    /// Writes the outcome of a version move; repeated until it is read back.
    std::function<void(const MoveRecord&)> record_move;
    /// Records that a property is refused, or no longer; repeated until it is
    /// read back.
    std::function<void(const PropertyLoss&)> record_refusal;
    std::function<void(RequestProperty)> remove_refusal;
    /// Changes how this VM reads a topic of the store.
    std::function<void(SharedTopic, const ReadDuty&)> set_read_duty =
        [](SharedTopic, const ReadDuty&) {};
    /// A peer's read shows how recent this VM's state of a topic is.
    std::function<void(const TopicProof&)> on_topic_proof =
        [](const TopicProof&) {};
  };

  /// Opens all listening sockets.
  /// @throws Error with step "listen" or "open link"
  static std::unique_ptr<Relay> Make(PollLoop* loop, const Clock* clock,
                                     const HttpCodec* codec, Metrics* metrics,
                                     const RelayOptions& options,
                                     Callbacks callbacks);

  virtual ~Relay() = default;

  virtual void SetConfig(std::shared_ptr<const RouteTable> table) = 0;
  virtual void OnConfigConfirmed(Time sent) = 0;
  virtual void SetTargets(const std::vector<ServingTarget>& targets) = 0;
  /// Sets the failure domains whose targets are sent nothing more.
  virtual void SetEvacuations(const std::set<std::string>& failure_domains) = 0;
  virtual void SetMembers(const std::vector<VmRecord>& members) = 0;
  virtual void SetMoves(const std::vector<MoveOrder>& orders,
                        const std::vector<MoveRecord>& records) = 0;

  /// This VM has read a topic to its end.
  virtual void OnTopicRead(const TopicRead& read) = 0;

  virtual void SetRefusals(const std::vector<PropertyLoss>& refusals) = 0;

  /// Applies the options that may change at run time: limits and budgets.
  virtual void SetOptions(const RelayOptions& options) = 0;

  /// Starts a graceful shutdown: reports not ready, later rejects new requests.
  virtual void Drain() = 0;
  /// Whether the shutdown is complete, so that the process may exit.
  virtual bool IsDrained() const = 0;

  /// Bound address for callers, with the actual port.
  virtual Address CallerAddress() const = 0;

  /// Record under which this VM is announced.
  virtual VmRecord SelfRecord() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_RELAY_H_
