#include "src/relay/peer_reporter.h"

#include <algorithm>
#include <random>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/hash.h"
#include "src/base/poll_loop.h"
#include "src/relay/peer_link.h"
#include "src/serving/admission.h"
#include "src/serving/evacuated_domains.h"
#include "src/serving/shared_reads.h"
#include "src/serving/target_balancer.h"
#include "src/serving/version_moves.h"
#include "src/serving/vm_directory.h"
#include "src/serving/wait_queue.h"

namespace hornbeamcleat {
namespace {

constexpr Duration kHeartbeatCheckPeriod = std::chrono::milliseconds(250);
/// Time for which a peer that has started is sent all losses, and the interval
/// between two such messages, in case one is lost.
constexpr Duration kStartedPeerTime = std::chrono::seconds(5);
constexpr Duration kStartedPeerInterval = std::chrono::seconds(1);
constexpr std::int64_t kChecksPerSecond =
    std::chrono::seconds(1) / kHeartbeatCheckPeriod;
/// Heartbeat checks over which VMs spread their messages to other domains:
/// those of the longer period, two seconds.
constexpr std::int64_t kRemotePhases = 2 * kChecksPerSecond;
/// Interval between complete lists of quotas to other failure domains.
constexpr Duration kAllQuotasPeriod = std::chrono::seconds(4);
/// Changes to losses and statements of targets are repeated with the details
/// for this time: three reports to other failure domains, in case some are
/// lost.
constexpr Duration kRepeatTime = std::chrono::seconds(6);
/// Minimum interval between two messages about losses. Bounds their number
/// when a failure domain with hundreds of targets is lost.
constexpr Duration kMinLossInterval = std::chrono::milliseconds(50);
/// Likewise, of messages about statements of targets, which may change with
/// each answer.
constexpr Duration kMinNoticeInterval = std::chrono::milliseconds(50);
/// News of targets that may be cold are repeated to all VMs at this interval
/// for this time, in case a message is lost: a target that stops is back within
/// two seconds, sooner than the next details reach other failure domains.
constexpr Duration kColdRepeatInterval = std::chrono::milliseconds(250);
constexpr Duration kColdRepeatTime = std::chrono::milliseconds(600);

}  // namespace

PeerReporter::PeerReporter(PollLoop* loop, const Clock* clock, PeerLink* link,
                           VmRecord self, Sources sources)
    : loop_(loop),
      clock_(clock),
      link_(link),
      self_(std::move(self)),
      sources_(std::move(sources)),
      plan_(PlanForScale(1, 1, Duration(0), Duration(0))) {
  std::random_device random;
  incarnation_ = (std::uint64_t{random()} << 32) | random();
  started_at_ = clock_->Now();
  // VMs that start together would otherwise send to others in the same instant,
  // which fills the receivers' links.
  const std::int64_t phase = Hash32(self_.link) % kRemotePhases;
  const std::int64_t seconds = phase / kChecksPerSecond;
  remote_sent_at_ =
      started_at_ - kHeartbeatCheckPeriod * (phase % kChecksPerSecond);
  remote_details_sent_at_ = remote_sent_at_ - std::chrono::seconds(1) * seconds;
  heartbeat_timer_ = loop_->Timers()->Every(
      clock_->Now() + kHeartbeatCheckPeriod, kHeartbeatCheckPeriod,
      [this](Time) { SendHeartbeat(); });
}

void PeerReporter::SendChangesSoon() {
  if (sent_changes_ ==
      sources_.targets->Changes() + sources_.queue->Changes()) {
    return;
  }
  const Time now = clock_->Now();
  const Time due = sent_at_ + plan_.min_change_interval;
  if (now >= due) {
    SendToLocalDomain(false);
  } else if (send_timer_ == nullptr) {
    send_timer_ =
        loop_->Timers()->At(due, [this](Time) { SendToLocalDomain(false); });
  }
}

std::vector<std::string> PeerReporter::LocalDomainLinks() const {
  return plan_.is_domain_scoped ? sources_.directory->LocalDomainLinks()
                                : sources_.directory->Links();
}

void PeerReporter::SendHeartbeat() {
  // The end of a bad version waits for the answers that all VMs counted.
  const bool has_move = !sources_.moves->Counts().empty();
  SendToLocalDomain(TakeDue(plan_.local_details_period, &details_sent_at_) ||
                    has_move);
  if (plan_.is_domain_scoped) {
    if (TakeDue(plan_.remote_heartbeat_period, &remote_sent_at_)) {
      SendToRemoteDomains(
          TakeDue(plan_.remote_details_period, &remote_details_sent_at_) ||
          has_move);
    } else {
      SendLowQuotas();
    }
  }
  SendLossesTo(&started_peers_);
  SendLossesTo(&returned_peers_);
}

// The timer's delays vary, so that a period counts as over a little early.
bool PeerReporter::TakeDue(Duration period, Time* last) const {
  const Time now = clock_->Now();
  if (now - *last < period - kHeartbeatCheckPeriod / 2) {
    return false;
  }
  *last = now;
  return true;
}

void PeerReporter::SendAll() {
  SendToLocalDomain(true);
  if (plan_.is_domain_scoped) {
    SendToRemoteDomains(true);
  }
}

void PeerReporter::SendToLocalDomain(bool with_details) {
  const Time now = clock_->Now();
  send_timer_.reset();
  sent_at_ = now;
  sent_changes_ = sources_.targets->Changes() + sources_.queue->Changes();
  QuotaLimiter* quotas = sources_.admission->Quotas();
  PeerState state = MakeLoadState(true, now);
  state.has_all_quotas = with_details;
  state.quotas = with_details ? quotas->TakeAllUsage(false, now)
                              : quotas->TakeLocalDomainUsage(now);
  if (with_details) {
    AddDetails("", now, &state);
  }
  state.reads = sources_.reads->TakeStamp(clock_->SuspendAwareNow());
  link_->Send(state, LocalDomainLinks());
}

// Most of a list of all quotas is known in other domains already, so that they
// are sent it at intervals only. A peer that has started needs it, as this VM's
// peers do after its own start: totals count from the first complete list on.
void PeerReporter::SendToRemoteDomains(bool with_details) {
  const Time now = clock_->Now();
  QuotaLimiter* quotas = sources_.admission->Quotas();
  PeerState state = MakeLoadState(false, now);
  state.has_all_quotas = !started_peers_.empty() ||
                         now - started_at_ < kStartedPeerTime ||
                         now - all_quotas_sent_at_ >= kAllQuotasPeriod;
  if (state.has_all_quotas) {
    all_quotas_sent_at_ = now;
    state.quotas = quotas->TakeAllUsage(true, now);
  } else {
    state.quotas = quotas->TakeRemoteDomainUsage(now);
  }
  if (with_details) {
    // Each domain has VMs enough to know its own targets.
    AddDetails(self_.failure_domain, now, &state);
  }
  link_->Send(state, sources_.directory->RemoteDomainLinks());
}

void PeerReporter::SendReads(const SharedReadsMessage& message,
                             const std::string& link) {
  PeerState state = MakeState();
  state.has_load = false;
  state.reads = message;
  link_->Send(state, {link});
}

// Between heartbeats, VMs of other failure domains are sent only quotas that
// are nearly used up.
void PeerReporter::SendLowQuotas() {
  PeerState state = MakeState();
  state.has_load = false;
  state.quotas = sources_.admission->Quotas()->TakeLowQuotaUsage(clock_->Now());
  if (!state.quotas.empty()) {
    link_->Send(state, sources_.directory->RemoteDomainLinks());
  }
}

PeerState PeerReporter::MakeState() {
  PeerState state;
  state.incarnation = incarnation_;
  state.sequence = ++sequence_;
  state.link = self_.link;
  state.is_ready = sources_.is_ready();
  return state;
}

std::vector<std::string> PeerReporter::Evacuations() const {
  return sources_.evacuations == nullptr ? std::vector<std::string>()
                                         : sources_.evacuations->Stored();
}

PeerState PeerReporter::MakeLoadState(bool has_reports, Time now) {
  PeerState state = MakeState();
  // The age of forwarded reports includes time in suspension.
  sources_.targets->SetSuspendedTime(clock_->SuspendAwareNow() - clock_->Now());
  state.uses = sources_.targets->LocalLoad(now, has_reports);
  state.queues = sources_.queue->Queues(now);
  return state;
}

void PeerReporter::AddDetails(const std::string& failure_domain, Time now,
                              PeerState* state) const {
  PeerDetails details;
  details.front = self_.front;
  details.failure_domain = self_.failure_domain;
  details.findings = sources_.targets->LocalStats(failure_domain, now);
  details.versions = sources_.moves->Counts();
  state->details = std::move(details);
  state->evacuations = Evacuations();
  const Time boot_now = clock_->SuspendAwareNow();
  state->losses = sources_.admission->Losses()->ChangesSince(
      boot_now - kRepeatTime, boot_now);
  state->notices = sources_.targets->Statements()->NoticesSince(
      boot_now - kRepeatTime, boot_now);
  state->limits = sources_.targets->Limits()->NoticesSince(
      boot_now - kRepeatTime, boot_now);
  state->cold =
      sources_.targets->Cold()->NoticesSince(boot_now - kRepeatTime, boot_now);
}

void PeerReporter::SendLossesSoon() {
  if (losses_timer_ == nullptr &&
      sent_loss_changes_ != sources_.admission->Losses()->Changes()) {
    losses_timer_ = loop_->Timers()->At(
        std::max(clock_->Now(), losses_sent_at_ + kMinLossInterval),
        [this](Time) { SendLosses(); });
  }
}

void PeerReporter::SendLosses() {
  losses_timer_.reset();
  losses_sent_at_ = clock_->Now();
  sent_loss_changes_ = sources_.admission->Losses()->Changes();
  PeerState state = MakeState();
  state.has_load = false;
  const Time boot_now = clock_->SuspendAwareNow();
  state.losses =
      sources_.admission->Losses()->ChangesSince(losses_sent_until_, boot_now);
  losses_sent_until_ = boot_now;
  link_->Send(state, sources_.directory->Links());
}

void PeerReporter::SendNoticesSoon() {
  const Time due =
      std::max(clock_->Now(), notices_sent_at_ + kMinNoticeInterval);
  if (notices_timer_ == nullptr || due < notices_due_) {
    notices_due_ = due;
    notices_timer_ = loop_->Timers()->At(due, [this](Time) { SendNotices(); });
  }
}

void PeerReporter::SendNotices() {
  notices_timer_.reset();
  notices_sent_at_ = clock_->Now();
  PeerState state = MakeState();
  state.has_load = false;
  const Time boot_now = clock_->SuspendAwareNow();
  state.notices = sources_.targets->Statements()->NoticesSince(
      notices_sent_until_, boot_now);
  state.limits =
      sources_.targets->Limits()->NoticesSince(notices_sent_until_, boot_now);
  state.cold = sources_.targets->Cold()->NoticesSince(
      std::min(notices_sent_until_, boot_now - kColdRepeatTime), boot_now);
  notices_sent_until_ = boot_now;
  if (state.notices.empty() && state.limits.empty() && state.cold.empty()) {
    return;
  }
  link_->Send(state, sources_.directory->Links());
  if (!state.cold.empty()) {
    notices_due_ = notices_sent_at_ + kColdRepeatInterval;
    notices_timer_ =
        loop_->Timers()->At(notices_due_, [this](Time) { SendNotices(); });
  }
}

// Only some VMs send all they know to a peer that has started. If all did, the
// reports would hold up its link, and their own, just when requests of the VMs
// that were lost are repeated.
void PeerReporter::SendLossesTo(std::map<std::string, StartedPeer>* peers) {
  const Time now = clock_->Now();
  std::erase_if(*peers,
                [now](const auto& item) { return now >= item.second.until; });
  for (auto& [link, peer] : *peers) {
    if (now < peer.next ||
        !sources_.directory->IsReporterTo(link, kStartedPeerTime, now)) {
      continue;
    }
    PeerState state = MakeState();
    state.has_load = false;
    state.losses =
        sources_.admission->Losses()->CompleteReport(clock_->SuspendAwareNow());
    state.notices =
        sources_.targets->Statements()->AllNotices(clock_->SuspendAwareNow());
    state.limits =
        sources_.targets->Limits()->AllNotices(clock_->SuspendAwareNow());
    state.cold =
        sources_.targets->Cold()->AllNotices(clock_->SuspendAwareNow());
    state.evacuations = Evacuations();
    if (*state.losses != LossReport() || !state.notices.empty() ||
        !state.limits.empty() || !state.cold.empty() ||
        !state.evacuations->empty()) {
      peer.next = now + kStartedPeerInterval;
      link_->Send(state, {link});
    }
  }
}

// To a process that has just started itself, all peers seem to have.
void PeerReporter::OnPeerStarted(const std::string& link) {
  const Time now = clock_->Now();
  if (now - started_at_ >= kStartedPeerTime) {
    started_peers_[link] = {now + kStartedPeerTime, now};
  }
}

// Once is enough: the peer is sent changes again.
void PeerReporter::OnPeerReturned(const std::string& link) {
  const Time now = clock_->Now();
  returned_peers_[link] = {now + kStartedPeerInterval, now};
}

}  // namespace hornbeamcleat
