#include "src/relay/peer_reporter.h"

#include <random>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "src/base/poll_loop.h"
#include "src/relay/peer_link.h"
#include "src/serving/admission.h"
#include "src/serving/target_balancer.h"
#include "src/serving/version_moves.h"
#include "src/serving/vm_directory.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {
namespace {

/// Period of the check whether a heartbeat is due.
constexpr Duration kHeartbeatCheck = std::chrono::milliseconds(250);

}  // namespace

PeerReporter::PeerReporter(PollLoop* loop, const Clock* clock, PeerLink* link,
                           VmRecord self, Parts parts)
    : loop_(loop),
      clock_(clock),
      link_(link),
      self_(std::move(self)),
      parts_(std::move(parts)),
      plan_(PlanForScale(1, 1, Duration(0), Duration(0))) {
  std::random_device random;
  incarnation_ = (std::uint64_t{random()} << 32) | random();
  heartbeat_ =
      loop_->Timers()->Every(clock_->Now() + kHeartbeatCheck, kHeartbeatCheck,
                             [this](Time) { Heartbeat(); });
}

void PeerReporter::TellSoon() {
  if (told_changes_ == parts_.board->Changes() + parts_.line->Changes()) {
    return;
  }
  const Time now = clock_->Now();
  const Time due = told_at_ + plan_.min_change_interval;
  if (now >= due) {
    Tell(false, false);
  } else if (tell_timer_ == nullptr) {
    tell_timer_ =
        loop_->Timers()->At(due, [this](Time) { Tell(false, false); });
  }
}

std::vector<std::string> PeerReporter::NearLinks() const {
  return plan_.is_domain_scoped ? parts_.directory->LocalDomainLinks()
                                : parts_.directory->Links();
}

void PeerReporter::Heartbeat() {
  const Time now = clock_->Now();
  const bool reaches_far = now - told_far_at_ >= plan_.remote_heartbeat_period;
  const Duration details_period =
      reaches_far ? plan_.remote_details_period : plan_.local_details_period;
  Time& detailed_at = reaches_far ? far_detailed_at_ : detailed_at_;
  const bool with_details = now - detailed_at >= details_period;
  if (with_details) {
    detailed_at = now;
  }
  Tell(with_details, reaches_far);
  if (!reaches_far) {
    TellPressedQuotas();
  }
}

void PeerReporter::Tell(bool with_details, bool reaches_far) {
  const Time now = clock_->Now();
  tell_timer_.reset();
  told_at_ = now;
  told_changes_ = parts_.board->Changes() + parts_.line->Changes();
  PeerState state = NextState();
  state.uses = parts_.board->LocalLoad(now);
  state.queues = parts_.line->Queues(now);
  state.has_all_quotas = with_details || reaches_far;
  state.quotas = state.has_all_quotas
                     ? parts_.desk->Quotas()->TakeAllUsage(reaches_far)
                     : parts_.desk->Quotas()->TakeLocalDomainUsage();
  if (with_details) {
    state.details = Details(now);
  }
  if (reaches_far) {
    told_far_at_ = now;
  }
  link_->Send(state, reaches_far ? parts_.directory->Links() : NearLinks());
}

// Between heartbeats VMs of other domains hear only of quotas that run out.
void PeerReporter::TellPressedQuotas() {
  if (!plan_.is_domain_scoped) {
    return;
  }
  PeerState state = NextState();
  state.has_load = false;
  state.quotas = parts_.desk->Quotas()->TakeLowQuotaUsage();
  if (!state.quotas.empty()) {
    link_->Send(state, parts_.directory->RemoteDomainLinks());
  }
}

PeerState PeerReporter::NextState() {
  PeerState state;
  state.incarnation = incarnation_;
  state.sequence = ++sequence_;
  state.link = self_.link;
  state.is_ready = parts_.is_ready();
  return state;
}

PeerDetails PeerReporter::Details(Time now) const {
  PeerDetails details;
  details.front = self_.front;
  details.failure_domain = self_.failure_domain;
  details.findings = parts_.board->LocalStats(now);
  details.versions = parts_.moves->Counts();
  for (const auto& [fingerprint, losses] : parts_.desk->LocalLosses(now)) {
    details.losses.push_back({fingerprint, static_cast<std::uint32_t>(losses)});
  }
  return details;
}

}  // namespace hornbeamcleat
