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
#include "src/control/move_driver.h"
#include "src/control/view_builder.h"

namespace hornbeamcleat {
namespace {

constexpr char kMoveLease[] = "moves";
constexpr Duration kMovePeriod = std::chrono::milliseconds(200);
constexpr Duration kFactPeriod = std::chrono::seconds(1);
constexpr Duration kWithdrawRetry = std::chrono::seconds(1);
constexpr Duration kFetchRetry = std::chrono::seconds(1);
constexpr int kMilli = 1'000;
constexpr int kFullLoadOpen = 2'000;  // open answers at which an entry is full

using VersionKey = std::pair<std::string, std::string>;

std::string WithdrawnFactKey(const VersionKey& key) {
  return fmt::format("{}{}/{}", kWithdrawnPrefix, key.first, key.second);
}

// Model and version of a withdrawal's key; the model has no slash.
bool ParseWithdrawnKey(const std::string& key, VersionKey* out) {
  const std::size_t prefix = std::string_view(kWithdrawnPrefix).size();
  const std::size_t slash = key.find('/', prefix);
  if (!key.starts_with(kWithdrawnPrefix) || slash == std::string::npos) {
    return false;
  }
  *out = {key.substr(prefix, slash - prefix), key.substr(slash + 1)};
  return true;
}

std::string HolderName(const Member& self) {
  return fmt::format("{}#{}", self.name, self.incarnation);
}

class LogControlCore : public ControlCore {
 public:
  LogControlCore(const ControlOptions& options, ControlEffects* effects,
                 Metrics* metrics)
      : options_(options),
        effects_(effects),
        metrics_(metrics),
        membership_(Membership::Make(options.self, options.membership)),
        lease_(
            Lease::Make(kMoveLease, HolderName(options.self), options.lease)),
        intents_(Intents::Make(HolderName(options.self), options.intents)),
        moves_(MoveDriver::Make(options.seed)) {}

  std::uint64_t NextOffset(const std::string& stream) const override {
    const std::map<std::string, std::uint64_t>::const_iterator it =
        next_offset_.find(stream);
    return it == next_offset_.end() ? 1 : it->second;
  }

  void OnLogRead(const std::string& stream, const LogRead& read,
                 Time now) override {
    if (stream == kConfigStream) {
      log_seen_ = now;
      FoldConfig(read);
    } else if (stream == kLeaseStream) {
      for (const LogRecord& record : read.records) {
        lease_->OnRecord(record.offset, record.payload, now);
      }
    } else if (stream == kIntentStream) {
      FoldIntents(read, now);
    }
    Advance(stream, read);
  }

  void OnAppendEnd(std::uint64_t token, AppendEnd end, std::uint64_t offset,
                   Time now) override {
    if (applies_.OnAppendEnd(token, end, offset)) {
      return;
    }
    if (token == lease_token_) {
      OnLeaseAppended(end, offset);
    } else if (const auto it = batches_.find(token); it != batches_.end()) {
      OnBatchAppended(it->second, end, now);
      batches_.erase(it);
    } else if (token == record_token_) {
      record_token_ = 0;
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
    StateEntryFact(now);
  }

  void OnEntryMessage(const LinkMessage& message, Time now) override {
    if (const ReportMessage* report = std::get_if<ReportMessage>(&message)) {
      OnReport(*report, now);
    } else if (const ProposeMessage* propose =
                   std::get_if<ProposeMessage>(&message)) {
      if (const std::optional<IntentDecision> decision =
              intents_->Propose(propose->id, propose->key, now)) {
        effects_->SendToEntry(DecisionMessage{*decision});
      }
    } else if (const ReleaseMessage* release =
                   std::get_if<ReleaseMessage>(&message)) {
      intents_->Release(release->id, release->key);
    }
  }

  void OnVms(const std::vector<VmEntry>& vms) override { vms_ = vms; }

  void OnPeerState(const ConfigState& state, Time now) override {
    if (config_ != nullptr && state.revision <= config_->revision) {
      return;
    }
    const std::uint64_t next = state.revision + 1;
    next_offset_[kConfigStream] = std::max(NextOffset(kConfigStream), next);
    Replace(std::make_shared<const ConfigState>(state));
    log_.Info("The configuration came from a peer. revision={}",
              state.revision);
    StateEntryFact(now);
  }

  void OnReadyTargets(const std::map<std::string, int>& ready) override {
    ready_targets_ = ready;
  }

  void Tick(Time now, WallTime wall) override {
    SendAll(membership_->Tick(now));
    TickLease(now);
    TickIntents(now, wall);
    ReadFacts();
    if (now >= next_move_look_) {
      next_move_look_ = now + kMovePeriod;
      TickMoves(now, wall);
    }
    if (now >= next_fact_) {
      next_fact_ = now + kFactPeriod;
      StateEntryFact(now);
      StateEvidence(now);
    }
    FetchIfBehind(now);
    applies_.Tick(now);
    SendView(now);
    CountMetrics(now);
  }

  void Apply(const ConfigRecord& record, ApplyCallback callback,
             Time now) override {
    const std::uint64_t token = ++last_token_;
    applies_.Begin(token, std::move(callback), now + options_.apply_timeout);
    effects_->Append(kConfigStream, {EncodeRecord(record)}, token);
  }

  void Leave(Time now) override {
    leaving_ = true;
    StateEntryFact(now);
    SendAll(membership_->Leave(now));
  }

  std::shared_ptr<const ConfigState> Config() const override { return config_; }

  ControlStatus Status() const override {
    ControlStatus out;
    out.config_revision = config_ == nullptr ? 0 : config_->revision;
    out.ready = config_ != nullptr;
    out.log_available = log_available_;
    out.entry_connected = entry_connected_;
    out.lease_holder = lease_->Holder();
    for (const Member& member : membership_->Members()) {
      MemberStatus status;
      status.member = member;
      const std::map<std::string, EntryFact>::const_iterator it =
          entries_.find(member.name);
      if (it != entries_.end()) {
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
  void Advance(const std::string& stream, const LogRead& read) {
    std::uint64_t& next = next_offset_[stream];
    next = std::max({next, std::uint64_t{1}, read.oldest});
    if (!read.records.empty()) {
      next = std::max(next, read.records.back().offset + 1);
    }
  }

  void FoldConfig(const LogRead& read) {
    if (read.records.empty() && config_ != nullptr) {
      return;
    }
    ConfigState state = config_ == nullptr ? loading_ : *config_;
    for (const LogRecord& record : read.records) {
      applies_.OnFolded(record.offset, FoldOne(record, &state));
    }
    const bool caught_up =
        read.records.empty() || read.records.back().offset + 1 >= read.next;
    if (config_ != nullptr || caught_up) {
      Replace(std::make_shared<const ConfigState>(std::move(state)));
    } else {
      loading_ = std::move(state);
    }
  }

  FoldResult FoldOne(const LogRecord& record, ConfigState* state) const {
    try {
      return Fold(DecodeRecord(record.payload), record.offset, state);
    } catch (const Error& e) {
      log_.Warning("A record is skipped. offset={} cause={}", record.offset,
                   e.what());
      metrics_->Count("config_records_skipped_total", "cause", "decode");
      state->revision = std::max(state->revision, record.offset);
      return FoldResult::kInvalid;
    }
  }

  void Replace(std::shared_ptr<const ConfigState> state) {
    const std::shared_ptr<const ConfigState> before = config_;
    config_ = std::move(state);
    effects_->OnConfig(before, config_);
  }

  void FoldIntents(const LogRead& read, Time now) {
    for (const LogRecord& record : read.records) {
      SendDecisions(
          intents_->OnRecord(record.offset, record.time, record.payload, now));
    }
    const bool caught_up =
        read.records.empty() || read.records.back().offset + 1 >= read.next;
    intents_->OnCaughtUp(caught_up);
  }

  void OnLeaseAppended(AppendEnd end, std::uint64_t offset) {
    lease_token_ = 0;
    if (end == AppendEnd::kDone) {
      lease_->OnAppended(offset, lease_sent_);
    } else {
      lease_->OnAppendLost(lease_sent_);
    }
  }

  void OnBatchAppended(std::uint64_t batch, AppendEnd end, Time now) {
    if (end == AppendEnd::kFailed) {
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
      StateEntryFact(now);
      SendAll(membership_->Tick(now));
    }
  }

  void TickLease(Time now) {
    if (lease_token_ != 0 || config_ == nullptr) {
      return;
    }
    const std::optional<std::string> record = lease_->Due(now);
    if (!record) {
      return;
    }
    lease_token_ = ++last_token_;
    lease_sent_ = now;
    effects_->Append(kLeaseStream, {*record}, lease_token_);
  }

  void TickIntents(Time now, WallTime wall) {
    if (const std::optional<IntentBatch> batch = intents_->NextBatch(now)) {
      const std::uint64_t token = ++last_token_;
      batches_[token] = batch->batch_id;
      effects_->Append(kIntentStream, {batch->payload}, token);
    }
    SendDecisions(intents_->Tick(now, wall));
  }

  void TickMoves(Time now, WallTime wall) {
    log_available_ =
        now - log_seen_ < options_.log_stale_time && log_seen_ != Time();
    if (config_ == nullptr) {
      return;
    }
    MoveDriverInput input;
    input.config = config_;
    input.evidence = evidence_->Merged();
    input.withdrawn = Withdrawn();
    input.ready_targets = ready_targets_;
    input.log_available = log_available_;
    input.holds_lease = lease_->Holds(now) && !lease_->MustWait(now);
    input.fencing = lease_->Fencing();
    input.now = wall;
    const MoveDriverOutput out = moves_->Decide(input);
    move_shares_ = out.shares;
    for (const WithdrawRecord& record : out.withdraw) {
      Withdraw(record, now);
    }
    AppendRecords(out.append, now);
  }

  // In force here at once and at the peers by gossip; the log follows.
  void Withdraw(const WithdrawRecord& record, Time now) {
    const VersionKey key = {record.model, record.version};
    own_withdrawals_[key] = record.reason;
    membership_->SetFact(WithdrawnFactKey(key), record.reason, false, now);
    metrics_->Count("versions_withdrawn_total", "model", record.model);
    SendAll(membership_->Tick(now));
  }

  // One append of records at a time, so that a step is not proposed twice.
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
    effects_->Append(kConfigStream, std::move(payloads), record_token_);
  }

  // The member that found a fault records it; the lease's holder does it for
  // members that died before they could.
  std::map<VersionKey, std::string> UnrecordedWithdrawals(Time now) const {
    std::map<VersionKey, std::string> out = own_withdrawals_;
    if (lease_->Holds(now)) {
      out.insert(gossiped_withdrawals_.begin(), gossiped_withdrawals_.end());
    }
    std::erase_if(out, [this](const auto& entry) {
      return config_->withdrawn.contains(entry.first);
    });
    return out;
  }

  std::set<VersionKey> Withdrawn() const {
    std::set<VersionKey> out;
    for (const auto& [key, reason] : own_withdrawals_) {
      out.insert(key);
    }
    for (const auto& [key, reason] : gossiped_withdrawals_) {
      out.insert(key);
    }
    return out;
  }

  void ReadFacts() {
    if (membership_->Generation() == facts_generation_) {
      return;
    }
    facts_generation_ = membership_->Generation();
    entries_.clear();
    intents_->SetWriters(membership_->Members().size());
    for (const Fact& fact : membership_->Facts()) {
      ReadFact(fact);
    }
  }

  void ReadFact(const Fact& fact) {
    VersionKey key;
    try {
      if (fact.key == kEntryFactKey) {
        entries_[fact.origin] = DecodeEntryFact(fact.value);
      } else if (ParseWithdrawnKey(fact.key, &key)) {
        gossiped_withdrawals_.emplace(key, fact.value);
      } else if (fact.key.starts_with(kEvidencePrefix) &&
                 fact.origin != options_.self.name) {
        const EvidenceReport report = DecodeEvidence(fact.value);
        evidence_->Report(fact.origin, report.incarnation, report.evidence);
      }
    } catch (const Error& e) {
      metrics_->Count("facts_refused_total", "cause", "decode");
      log_.Warning("A fact can't be read. peer={} key={} cause={}", fact.origin,
                   fact.key, e.what());
    }
  }

  void StateEntryFact(Time now) {
    EntryFact fact;
    fact.serving = entry_connected_ && !report_.draining && !leaving_ &&
                   config_ != nullptr && !report_.entry.empty();
    fact.load_permille =
        std::min(kMilli, report_.open * kMilli / kFullLoadOpen);
    fact.closed_rank = report_.facts.closed_rank;
    for (const auto& [model, demand] : report_.facts.demand) {
      fact.demand_milli[model] = static_cast<int>(demand * kMilli);
    }
    fact.poison = report_.facts.poison;
    fact.config_revision = config_ == nullptr ? 0 : config_->revision;
    fact.api = options_.api;
    membership_->SetFact(kEntryFactKey, EncodeEntryFact(fact), true, now);
  }

  void StateEvidence(Time now) {
    if (config_ == nullptr) {
      return;
    }
    const std::vector<std::string> chunks =
        EvidenceChunks({report_.incarnation, report_.evidence},
                       MovingModels(*config_));
    for (std::size_t i = 0; i < chunks.size(); ++i) {
      membership_->SetFact(fmt::format("{}{}", kEvidencePrefix, i), chunks[i],
                           true, now);
    }
  }

  void FetchIfBehind(Time now) {
    const std::uint64_t own = config_ == nullptr ? 0 : config_->revision;
    if (log_available_ || now < next_fetch_) {
      return;
    }
    for (const auto& [name, fact] : entries_) {
      if (fact.config_revision > own && name != options_.self.name) {
        next_fetch_ = now + kFetchRetry;
        effects_->FetchState(fact.api);
        return;
      }
    }
  }

  void SendView(Time now) {
    if (!entry_connected_) {
      return;
    }
    ViewSources sources;
    sources.config = config_;
    sources.self = options_.self.name;
    sources.members = membership_->Members();
    sources.entries = entries_;
    sources.withdrawn = Withdrawn();
    sources.move_shares = move_shares_;
    sources.vms = vms_;
    sources.log_available = now - log_seen_ < options_.log_stale_time;
    const ViewMessage view = BuildView(sources);
    if (sent_view_ && *sent_view_ == view) {
      return;
    }
    sent_view_ = view;
    effects_->SendToEntry(view);
  }

  void CountMetrics(Time now) {
    metrics_->Set(
        "config_revision", "stream", kConfigStream,
        config_ == nullptr ? 0 : static_cast<double>(config_->revision));
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
      effects_->Send(datagram);
    }
  }

  void SendDecisions(const std::vector<IntentDecision>& decisions) {
    for (const IntentDecision& decision : decisions) {
      effects_->SendToEntry(DecisionMessage{decision});
    }
  }

  ControlOptions options_;
  ControlEffects* effects_;
  Metrics* metrics_;
  Logger log_{"control"};

  std::unique_ptr<Membership> membership_;
  std::unique_ptr<Lease> lease_;
  std::unique_ptr<Intents> intents_;
  std::unique_ptr<MoveDriver> moves_;
  ApplyTracker applies_;

  std::map<std::string, std::uint64_t> next_offset_;  // by stream
  std::shared_ptr<const ConfigState> config_;
  ConfigState loading_;
  Time log_seen_;
  bool log_available_ = false;

  std::uint64_t last_token_ = 0;
  std::uint64_t lease_token_ = 0;   // 0 when no append is under way
  std::uint64_t record_token_ = 0;  // likewise
  Time lease_sent_;
  std::map<std::uint64_t, std::uint64_t> batches_;  // token to batch id

  bool entry_connected_ = false;
  bool leaving_ = false;
  ReportMessage report_;
  std::optional<ViewMessage> sent_view_;

  std::uint64_t facts_generation_ = 0;
  std::map<std::string, EntryFact> entries_;  // by member name
  std::unique_ptr<EvidenceTable> evidence_ = EvidenceTable::Make();
  std::map<VersionKey, std::string> gossiped_withdrawals_;
  std::map<VersionKey, std::string> own_withdrawals_;
  std::map<std::string, VersionShare> move_shares_;
  std::map<std::string, int> ready_targets_;
  std::vector<VmEntry> vms_;

  Time next_move_look_;
  Time next_fact_;
  Time next_fetch_;
  Time next_withdraw_record_;
};

}  // namespace

std::unique_ptr<ControlCore> ControlCore::Make(const ControlOptions& options,
                                               ControlEffects* effects,
                                               Metrics* metrics) {
  return std::make_unique<LogControlCore>(options, effects, metrics);
}

}  // namespace hornbeamcleat
