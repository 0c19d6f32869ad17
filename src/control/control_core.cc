#include "src/control/control_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/move/evidence_table.h"
#include "src/control/apply_tracker.h"
#include "src/control/entry_fact.h"
#include "src/control/evidence_exchange.h"
#include "src/control/local_facts.h"
#include "src/control/move_driver.h"
#include "src/control/peer_facts.h"
#include "src/control/view_builder.h"

namespace hornbeamcleat {
namespace {

constexpr char kMoveLease[] = "moves";
constexpr Duration kMoveEvaluationPeriod = std::chrono::milliseconds(200);
constexpr Duration kPublishPeriod = std::chrono::seconds(1);
constexpr Duration kWithdrawRetry = std::chrono::seconds(1);
constexpr Duration kSnapshotRetry = std::chrono::seconds(5);
constexpr Duration kJoinDelay = std::chrono::seconds(2);
constexpr Duration kFetchRetry = std::chrono::seconds(1);

std::string HolderName(const Member& self) {
  return fmt::format("{}#{}", self.name, self.incarnation);
}

class LogControlCore : public ControlCore {
 public:
  LogControlCore(const ControlOptions& options, ControlDelegate* delegate,
                 Metrics* metrics)
      : options_(options),
        delegate_(delegate),
        metrics_(metrics),
        membership_(Membership::Make(options.self, options.membership)),
        lease_(
            Lease::Make(kMoveLease, HolderName(options.self), options.lease)),
        intents_(Intents::Make(HolderName(options.self), options.intents)),
        moves_(MoveDriver::Make(options.seed)),
        tail_(ConfigTail::Make(HolderName(options.self), options.config)),
        local_facts_(membership_.get(), metrics),
        peer_facts_(options.self.name, evidence_.get(), metrics),
        load_coordinator_(options.lease.longest_order) {}

  std::uint64_t NextOffset(const std::string& stream) const override {
    if (stream == kConfigStream) {
      return tail_->NextOffset();
    }
    const std::map<std::string, std::uint64_t>::const_iterator it =
        next_offset_.find(stream);
    return it == next_offset_.end() ? 1 : it->second;
  }

  void OnLogRead(const std::string& stream, std::uint64_t from,
                 const LogRead& read, Time now) override {
    if (stream == kConfigStream) {
      last_config_read_ = now;
      // State fetched from a peer may have advanced the offset since the read
      // began.
      if (from == tail_->NextOffset()) {
        ApplyConfigUpdate(tail_->OnRead(read), now);
      }
      return;
    }
    // A restarted core reads from the start, so reads begun for the previous
    // core are stale.
    if (from != NextOffset(stream)) {
      return;
    }
    for (const LogRecord& record : read.records) {
      HandleRecord(stream, record, now);
    }
    AdvanceOffset(stream, read);
    if (stream == kIntentStream) {
      intents_->OnCaughtUp(next_offset_[stream] >= read.next);
    }
  }

  void OnAppendFinished(std::uint64_t token, AppendStatus status,
                        std::uint64_t offset, Time now) override {
    if (apply_tracker_.OnAppendFinished(token, status)) {
      return;
    }
    if (token == lease_token_) {
      OnLeaseAppended(status, offset);
    } else if (const auto it = batches_.find(token); it != batches_.end()) {
      OnBatchAppended(it->second, status, now);
      batches_.erase(it);
    } else if (token == record_token_) {
      record_token_ = 0;
    } else if (token == snapshot_token_) {
      snapshot_token_ = 0;
    }
  }

  void OnDatagram(const Address& from, std::string_view bytes,
                  Time now) override {
    SendAll(membership_->OnDatagram(from, bytes, now));
  }

  void OnEntryConnected(bool connected, Time now) override {
    entry_connected_ = connected;
    report_ = ReportMessage{};
    sent_view_.reset();
    PublishEntryFact(now);
  }

  void OnEntryMessage(const LinkMessage& message, Time now) override {
    if (const ReportMessage* report = std::get_if<ReportMessage>(&message)) {
      OnReport(*report, now);
    } else if (const ProposeMessage* propose =
                   std::get_if<ProposeMessage>(&message)) {
      if (const std::optional<IntentDecision> decision =
              intents_->Propose(propose->id, propose->key, now)) {
        delegate_->SendToEntry(DecisionMessage{*decision});
      }
    } else if (const ReleaseMessage* release =
                   std::get_if<ReleaseMessage>(&message)) {
      intents_->Release(release->id, release->key);
    }
  }

  void OnVms(const std::vector<VmEntry>& vms) override { vms_ = vms; }

  void OnPeerState(const ConfigState& state, Time now) override {
    const ConfigUpdate update = tail_->OnPeerState(state);
    if (update.published) {
      log_.Info("Configuration fetched from a peer. revision={}",
                state.revision);
    }
    ApplyConfigUpdate(update, now);
  }

  void OnTargetState(const TargetQuery& target, LoadState state,
                     Time sent) override {
    load_coordinator_.OnTargetState(target, state, sent);
  }

  void OnTargetQueryFailed(const TargetQuery& target) override {
    load_coordinator_.OnTargetQueryFailed(target);
  }

  std::vector<TargetQuery> TargetsToQuery(Time now) const override {
    if (Config() == nullptr || !HoldsLease(now)) {
      return {};
    }
    return load_coordinator_.TargetsToQuery(*Config());
  }

  bool HoldsLease(Time now) const override {
    return lease_->Holds(now) && !lease_->FormerOrdersMayBeInFlight(now);
  }

  void Tick(Time now, WallTime wall) override {
    SendAll(membership_->Tick(now));
    TickLease(now);
    TickIntents(now, wall);
    TickSnapshot(now, wall);
    UpdatePeerFacts();
    if (now >= next_move_evaluation_) {
      next_move_evaluation_ = now + kMoveEvaluationPeriod;
      TickMoves(now, wall);
    }
    if (now >= next_publish_) {
      next_publish_ = now + kPublishPeriod;
      PublishEntryFact(now);
      PublishEvidence(now);
    }
    FetchIfBehind(now);
    apply_tracker_.Tick(now);
    SendView(now);
    UpdateMetrics(now);
  }

  void Apply(const ConfigRecord& record, ApplyCallback callback,
             Time now) override {
    const std::uint64_t token = ++last_token_;
    const std::string writer = tail_->NextWriterTag();
    apply_tracker_.Begin(token, writer, std::move(callback),
                         now + options_.apply_timeout);
    delegate_->Append(kConfigStream, {EncodeRecord(WithWriter(record, writer))},
                      token);
  }

  void Leave(Time now) override {
    leaving_ = true;
    PublishEntryFact(now);
    SendAll(membership_->Leave(now));
  }

  std::shared_ptr<const ConfigState> Config() const override {
    return tail_->Current();
  }

  ControlStatus Status() const override {
    ControlStatus out;
    out.config_revision = Revision();
    out.ready = Config() != nullptr;
    out.log_available = log_available_;
    out.entry_connected = entry_connected_;
    out.lease_holder = lease_->Holder();
    for (const Member& member : membership_->Members()) {
      MemberStatus status;
      status.member = member;
      const std::map<std::string, EntryFact>::const_iterator it =
          peer_facts_.Entries().find(member.name);
      if (it != peer_facts_.Entries().end()) {
        status.config_revision = it->second.config_revision;
        status.serving = it->second.serving;
      }
      out.members.push_back(status);
    }
    for (const VersionKey& key : Withdrawn()) {
      out.withdrawn.push_back(key);
    }
    return out;
  }

 private:
  static ConfigRecord WithWriter(ConfigRecord record,
                                 const std::string& writer) {
    if (PutRecord* put = std::get_if<PutRecord>(&record)) {
      put->writer = writer;
    } else if (DeleteRecord* deletion = std::get_if<DeleteRecord>(&record)) {
      deletion->writer = writer;
    }
    return record;
  }

  std::uint64_t Revision() const {
    return Config() == nullptr ? 0 : Config()->revision;
  }

  void AdvanceOffset(const std::string& stream, const LogRead& read) {
    std::uint64_t& next = next_offset_[stream];
    next = std::max({next, std::uint64_t{1}, read.oldest});
    if (!read.records.empty()) {
      next = std::max(next, read.records.back().offset + 1);
    }
  }

  void HandleRecord(const std::string& stream, const LogRecord& record,
                    Time now) {
    if (stream == kLeaseStream) {
      lease_->OnRecord(record.offset, record.payload, now);
    } else if (stream == kIntentStream) {
      SendDecisions(
          intents_->OnRecord(record.offset, record.time, record.payload, now));
    }
  }

  void ApplyConfigUpdate(const ConfigUpdate& update, Time now) {
    for (const FoldedRecord& record : update.folded) {
      apply_tracker_.OnFolded(record);
    }
    if (update.published) {
      delegate_->OnConfig(Config(), update);
      PublishEntryFact(now);
      SendView(now);
    }
  }

  void OnLeaseAppended(AppendStatus status, std::uint64_t offset) {
    lease_token_ = 0;
    if (status == AppendStatus::kDone) {
      lease_->OnAppended(offset, lease_sent_);
    } else {
      lease_->OnAppendLost(lease_sent_);
    }
  }

  void OnBatchAppended(std::uint64_t batch, AppendStatus status, Time now) {
    if (status == AppendStatus::kFailed) {
      SendDecisions(intents_->OnAppendFailed(batch, now));
    } else {
      intents_->OnAppendSent(batch, now);
    }
  }

  void OnReport(const ReportMessage& report, Time now) {
    const bool urgent = report.facts.closed_rank != report_.facts.closed_rank ||
                        report.draining != report_.draining;
    report_ = report;
    evidence_->Report(options_.self.name, report.incarnation, report.evidence);
    if (urgent) {
      PublishEntryFact(now);
      SendAll(membership_->Tick(now));
    }
  }

  void TickLease(Time now) {
    if (lease_token_ != 0 || Config() == nullptr) {
      return;
    }
    const std::optional<std::string> record = lease_->Due(now);
    if (!record) {
      return;
    }
    lease_token_ = ++last_token_;
    lease_sent_ = now;
    delegate_->Append(kLeaseStream, {*record}, lease_token_);
  }

  void TickIntents(Time now, WallTime wall) {
    if (const std::optional<IntentBatch> batch = intents_->NextBatch(now)) {
      const std::uint64_t token = ++last_token_;
      batches_[token] = batch->batch_id;
      delegate_->Append(kIntentStream, {batch->payload}, token);
    }
    SendDecisions(intents_->Tick(now, wall));
  }

  // The snapshot is appended again before old records expire, so that a new VM
  // can load the configuration from the log.
  void TickSnapshot(Time now, WallTime wall) {
    if (snapshot_token_ != 0 || !log_available_ || now < next_snapshot_ ||
        !tail_->SnapshotDue(wall)) {
      return;
    }
    next_snapshot_ = now + kSnapshotRetry;
    snapshot_token_ = ++last_token_;
    delegate_->Append(kConfigStream, tail_->MakeSnapshot(wall),
                      snapshot_token_);
  }

  void TickMoves(Time now, WallTime wall) {
    log_available_ = now - last_config_read_ < options_.log_stale_time &&
                     last_config_read_ != Time();
    if (Config() == nullptr) {
      return;
    }
    MoveDriverInput input;
    input.config = Config();
    input.evidence = evidence_->Merged();
    input.withdrawn = Withdrawn();
    input.ready_targets = load_coordinator_.Ready(*input.config);
    input.attainable_targets = load_coordinator_.Attainable();
    input.log_available = log_available_;
    input.holds_lease = HoldsLease(now);
    input.fencing = lease_->Fencing();
    input.now = wall;
    const MoveDriverOutput out = moves_->Decide(input);
    move_shares_ = out.shares;
    for (const WithdrawRecord& record : out.withdraw) {
      Withdraw(record, now);
    }
    AppendRecords(out.append, now);
    TickLoadCommands(now);
  }

  void TickLoadCommands(Time now) {
    if (!HoldsLease(now)) {
      lease_held_since_.reset();
      return;
    }
    if (!lease_held_since_) {
      lease_held_since_ = now;
    }
    for (const AddressedLoadCommand& addressed : load_coordinator_.Plan(
             *Config(), lease_->Fencing(), *lease_held_since_, now)) {
      delegate_->SendLoadCommand(addressed);
    }
  }

  // Takes effect on this VM immediately and on peers by gossip; the record is
  // appended to the log afterwards.
  void Withdraw(const WithdrawRecord& record, Time now) {
    const VersionKey key = {record.model, record.version};
    local_withdrawals_[key] = record.reason;
    local_facts_.PublishWithdrawal(key, record.reason, now);
    metrics_->Count("versions_withdrawn_total", "model", record.model);
    SendAll(membership_->Tick(now));
  }

  // Keeps at most one append of records in flight, so that a step is not
  // proposed twice.
  void AppendRecords(std::vector<ConfigRecord> records, Time now) {
    if (record_token_ != 0 || !log_available_) {
      return;
    }
    if (now >= next_withdraw_record_) {
      for (const auto& [key, reason] : UnrecordedWithdrawals(now)) {
        records.insert(records.begin(),
                       WithdrawRecord{key.first, key.second, reason});
        next_withdraw_record_ = now + kWithdrawRetry;
      }
    }
    if (records.empty()) {
      return;
    }
    std::vector<std::string> payloads;
    payloads.reserve(records.size());
    for (const ConfigRecord& record : records) {
      payloads.push_back(EncodeRecord(record));
    }
    record_token_ = ++last_token_;
    delegate_->Append(kConfigStream, std::move(payloads), record_token_);
  }

  // The member that detected a fault records the withdrawal. The lease holder
  // also records those of members that failed before they could.
  std::map<VersionKey, std::string> UnrecordedWithdrawals(Time now) const {
    std::map<VersionKey, std::string> out = local_withdrawals_;
    if (lease_->Holds(now)) {
      out.insert(peer_facts_.Withdrawn().begin(),
                 peer_facts_.Withdrawn().end());
    }
    std::erase_if(out, [this](const auto& entry) {
      return Config()->withdrawn.contains(entry.first);
    });
    return out;
  }

  std::set<VersionKey> Withdrawn() const {
    std::set<VersionKey> out;
    for (const auto& [key, reason] : local_withdrawals_) {
      out.insert(key);
    }
    for (const auto& [key, reason] : peer_facts_.Withdrawn()) {
      out.insert(key);
    }
    return out;
  }

  void UpdatePeerFacts() {
    if (membership_->Generation() == facts_generation_) {
      return;
    }
    facts_generation_ = membership_->Generation();
    peer_facts_.Read(membership_->Facts());
    intents_->SetWriterCount(membership_->Members().size());
  }

  void PublishEntryFact(Time now) {
    const bool serving = entry_connected_ && !report_.draining && !leaving_ &&
                         Config() != nullptr && !report_.entry.empty();
    local_facts_.PublishEntry(report_, serving, Revision(), options_.api, now);
    local_facts_.PublishLosses(report_.facts.losses, now);
  }

  void PublishEvidence(Time now) {
    if (Config() != nullptr) {
      local_facts_.PublishEvidence(report_, MovingModels(*Config()), now);
    }
  }

  void FetchIfBehind(Time now) {
    if (now < next_fetch_ || (log_available_ && !tail_->HasGap())) {
      return;
    }
    const std::uint64_t own = Revision();
    for (const auto& [name, fact] : peer_facts_.Entries()) {
      if (fact.config_revision > own && name != options_.self.name) {
        next_fetch_ = now + kFetchRetry;
        delegate_->FetchState(fact.api);
        return;
      }
    }
  }

  // A new member waits until gossip has told it which tiers its peers have
  // closed. Without that its entry would serve requests that they shed.
  bool JoinDelayElapsed(Time now) {
    if (!started_) {
      started_ = now;
    }
    return options_.membership.seeds.empty() || now - *started_ >= kJoinDelay;
  }

  void SendView(Time now) {
    if (!JoinDelayElapsed(now) || !entry_connected_) {
      return;
    }
    ViewInputs inputs;
    inputs.config = Config();
    inputs.self = options_.self.name;
    inputs.members = membership_->Members();
    inputs.entries = peer_facts_.Entries();
    inputs.losses = peer_facts_.Losses();
    inputs.withdrawn = Withdrawn();
    inputs.move_shares = move_shares_;
    inputs.vms = vms_;
    inputs.log_available = now - last_config_read_ < options_.log_stale_time;
    const ViewMessage view = BuildViewMessage(inputs);
    if (sent_view_ && *sent_view_ == view) {
      return;
    }
    sent_view_ = view;
    delegate_->SendToEntry(view);
  }

  void UpdateMetrics(Time now) {
    metrics_->Set("config_revision", "stream", kConfigStream,
                  static_cast<double>(Revision()));
    metrics_->Set("lease_held", "lease", kMoveLease,
                  lease_->Holds(now) ? 1 : 0);
    const MembershipCounters counters = membership_->Counters();
    metrics_->Set("gossip", "what", "received",
                  static_cast<double>(counters.received));
    metrics_->Set("gossip", "what", "malformed",
                  static_cast<double>(counters.malformed));
    metrics_->Set("gossip", "what", "unauthenticated",
                  static_cast<double>(counters.unauthenticated));
    metrics_->Set("gossip", "what", "replayed",
                  static_cast<double>(counters.replayed));
    metrics_->Set("gossip", "what", "bytes_sent",
                  static_cast<double>(counters.bytes_sent));
  }

  void SendAll(const std::vector<Datagram>& datagrams) {
    for (const Datagram& datagram : datagrams) {
      delegate_->Send(datagram);
    }
  }

  void SendDecisions(const std::vector<IntentDecision>& decisions) {
    for (const IntentDecision& decision : decisions) {
      delegate_->SendToEntry(DecisionMessage{decision});
    }
  }

  ControlOptions options_;
  ControlDelegate* delegate_;
  Metrics* metrics_;
  Logger log_{"control"};

  std::unique_ptr<Membership> membership_;
  std::unique_ptr<Lease> lease_;
  std::unique_ptr<Intents> intents_;
  std::unique_ptr<MoveDriver> moves_;
  std::unique_ptr<ConfigTail> tail_;
  std::unique_ptr<EvidenceTable> evidence_ = EvidenceTable::Make();
  LocalFacts local_facts_;
  PeerFacts peer_facts_;
  LoadCoordinator load_coordinator_;
  ApplyTracker apply_tracker_;

  std::map<std::string, std::uint64_t> next_offset_;  // by stream
  Time last_config_read_;
  bool log_available_ = false;

  std::uint64_t last_token_ = 0;
  std::uint64_t lease_token_ = 0;  // 0 if no append is in flight
  std::uint64_t snapshot_token_ = 0;
  std::uint64_t record_token_ = 0;  // 0 if no append is in flight
  Time lease_sent_;
  std::map<std::uint64_t, std::uint64_t> batches_;  // token to batch id

  bool entry_connected_ = false;
  bool leaving_ = false;
  ReportMessage report_;
  std::optional<ViewMessage> sent_view_;

  std::uint64_t facts_generation_ = 0;
  std::map<VersionKey, std::string> local_withdrawals_;
  std::map<std::string, VersionShare> move_shares_;
  std::optional<Time> lease_held_since_;
  std::vector<VmEntry> vms_;

  std::optional<Time> started_;  // time of the first SendView
  Time next_move_evaluation_;
  Time next_publish_;
  Time next_fetch_;
  Time next_snapshot_;
  Time next_withdraw_record_;
};

}  // namespace

std::unique_ptr<ControlCore> ControlCore::Make(const ControlOptions& options,
                                               ControlDelegate* delegate,
                                               Metrics* metrics) {
  return std::make_unique<LogControlCore>(options, delegate, metrics);
}

}  // namespace hornbeamcleat
