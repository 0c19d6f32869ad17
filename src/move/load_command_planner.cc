#include "hornbeamcleat/move/load_command_planner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace hornbeamcleat {
namespace {

class LevelPlanner : public LoadCommandPlanner {
 public:
  LevelPlanner(std::string model, std::string version,
               const LoadCommandPlannerOptions& options)
      : model_(std::move(model)),
        version_(std::move(version)),
        options_(options) {}

  LoadCommandPlan PlanLoads(const LoadPlannerInput& input) override;
  LoadCommandPlan PlanUnloads(const LoadPlannerInput& input) override;

 private:
  struct Sent {
    std::optional<Time> last;     ///< when the last order was sent
    std::optional<Time> loading;  ///< since when it has been loading
    int orders = 0;               ///< since the version was last seen there
    bool failed = false;
  };

  void Note(const ObservedTarget& target, Time now);
  bool MayRepeat(const ObservedTarget& target, const Sent& sent) const;
  bool MayOrder(const ObservedTarget& target,
                const LoadPlannerInput& input) const;
  bool UnderWay(const ObservedTarget& target) const;
  LoadCommand Order(const ObservedTarget& target, const LoadPlannerInput& input,
                    bool load);
  std::vector<const ObservedTarget*> Choose(
      const LoadPlannerInput& input) const;

  std::string model_;
  std::string version_;
  LoadCommandPlannerOptions options_;
  std::map<TargetName, Sent> sent_;
};

// Brings the record of a target up to date with what was read back.
void LevelPlanner::Note(const ObservedTarget& target, Time now) {
  Sent& sent = sent_[target.target];
  if (!target.live || target.state == LoadState::kLoaded) {
    sent.loading.reset();
    sent.orders = 0;
    sent.failed = false;
    return;
  }
  if (target.state != LoadState::kLoading) {
    sent.loading.reset();
  } else if (!sent.loading) {
    sent.loading = now;
  } else if (now - *sent.loading > options_.load_timeout) {
    sent.failed = true;
  }
  if (sent.orders >= options_.max_orders && MayRepeat(target, sent)) {
    sent.failed = true;
  }
}

// Whether the last order can no longer be under way at the instant of the read.
bool LevelPlanner::MayRepeat(const ObservedTarget& target,
                             const Sent& sent) const {
  return !sent.last || target.observed >= *sent.last + options_.longest_order;
}

bool LevelPlanner::MayOrder(const ObservedTarget& target,
                            const LoadPlannerInput& input) const {
  const Time quiet = input.held_since + options_.longest_order;
  if (!target.checks_fencing &&
      (input.now < quiet || target.observed < quiet)) {
    return false;
  }
  return MayRepeat(target, sent_.at(target.target));
}

bool LevelPlanner::UnderWay(const ObservedTarget& target) const {
  if (!target.live || target.state == LoadState::kLoaded) {
    return false;
  }
  const Sent& sent = sent_.at(target.target);
  return target.state == LoadState::kLoading || !MayRepeat(target, sent);
}

LoadCommand LevelPlanner::Order(const ObservedTarget& target,
                                const LoadPlannerInput& input, bool load) {
  Sent& sent = sent_[target.target];
  sent.last = input.now;
  ++sent.orders;
  return {target.target, model_, version_, load, input.fencing};
}

// The candidates that shall have the version: those that have it first, then
// those that are loading it, then the others in their order.
std::vector<const ObservedTarget*> LevelPlanner::Choose(
    const LoadPlannerInput& input) const {
  std::vector<const ObservedTarget*> out;
  for (const ObservedTarget& target : input.candidates) {
    if (target.live && !sent_.at(target.target).failed) {
      out.push_back(&target);
    }
  }
  const auto rank = [this](const ObservedTarget* target) {
    if (target->state == LoadState::kLoaded) {
      return 0;
    }
    return UnderWay(*target) ? 1 : 2;
  };
  std::stable_sort(out.begin(), out.end(),
                   [&rank](const ObservedTarget* a, const ObservedTarget* b) {
                     return rank(a) < rank(b);
                   });
  const std::size_t wanted =
      static_cast<std::size_t>(std::max(0, input.wanted));
  out.resize(std::min(out.size(), wanted));
  return out;
}

LoadCommandPlan LevelPlanner::PlanLoads(const LoadPlannerInput& input) {
  LoadCommandPlan plan;
  int loading = 0;
  for (const ObservedTarget& target : input.candidates) {
    Note(target, input.now);
    plan.ready += target.live && target.state == LoadState::kLoaded ? 1 : 0;
    // A failed load may still draw on the weight store.
    loading += UnderWay(target) ? 1 : 0;
    if (sent_[target.target].failed) {
      plan.left_out.push_back(target.target);
    }
  }
  const std::vector<const ObservedTarget*> chosen = Choose(input);
  plan.attainable = static_cast<int>(chosen.size());
  for (const ObservedTarget* target : chosen) {
    if (target->state == LoadState::kAbsent && loading < options_.max_loading &&
        MayOrder(*target, input)) {
      plan.orders.push_back(Order(*target, input, true));
      ++loading;
    }
  }
  return plan;
}

LoadCommandPlan LevelPlanner::PlanUnloads(const LoadPlannerInput& input) {
  LoadCommandPlan plan;
  int kept = 0;
  for (const ObservedTarget& target : input.candidates) {
    sent_.try_emplace(target.target);
    const bool has = target.live && target.state == LoadState::kLoaded;
    if (has && kept < input.wanted) {
      ++kept;
    } else if (has && MayOrder(target, input)) {
      plan.orders.push_back(Order(target, input, false));
    }
    plan.ready += has ? 1 : 0;
  }
  plan.attainable = kept;
  return plan;
}

}  // namespace

std::unique_ptr<LoadCommandPlanner> LoadCommandPlanner::Make(
    const std::string& model, const std::string& version,
    const LoadCommandPlannerOptions& options) {
  return std::make_unique<LevelPlanner>(model, version, options);
}

}  // namespace hornbeamcleat
