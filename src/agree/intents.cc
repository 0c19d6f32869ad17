#include "hornbeamcleat/agree/intents.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_set>
#include <utility>

#include "hornbeamcleat/agree/key_date.h"
#include "hornbeamcleat/base/error.h"
#include "src/agree/intent_record.h"
#include "src/agree/key_table.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxTextBytes = 512;  // of a key or an id
constexpr std::size_t kMaxPending = 20'000;
constexpr std::size_t kMaxReleases = 20'000;
constexpr std::chrono::seconds kSecond(1);
constexpr int kMarkersPerLife = 4;

// Text that JSON carries unchanged.
bool IsPlain(const std::string& text) {
  return !text.empty() && text.size() <= kMaxTextBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

struct Pending {
  RequestId id;
  std::string key;
  Time proposed;
  std::uint64_t batch = 0;  // 0 while queued
};

struct PendingRelease {
  std::string key;
  Time sent = Time::min();  // of the last append
};

class IntentsImpl : public Intents {
 public:
  IntentsImpl(std::string entry, const IntentOptions& options)
      : entry_(std::move(entry)),
        options_(options),
        period_(options.batch_period),
        keys_(options.max_keys) {}

  std::optional<IntentDecision> Propose(const RequestId& id,
                                        const std::string& key,
                                        Time now) override {
    if (waiting_ids_.contains(id)) {
      return std::nullopt;
    }
    const KeyHolder holder = keys_.Find(key);
    if (!holder.entry.empty() && !IsReleasing(holder)) {
      return Lost(id, holder);
    }
    if (!IsPlain(id) || Refused(key)) {
      return Expired(id);
    }
    if (Forgotten(key) || pending_.size() >= kMaxPending) {
      return Unavailable(id);
    }
    const std::uint64_t number = ++last_number_;
    pending_[number] = {id, key, now, 0};
    queue_.push_back(number);
    waiting_ids_.insert(id);
    return std::nullopt;
  }

  void Release(const RequestId& id, const std::string& key) override {
    const KeyHolder holder = keys_.Find(key);
    if (holder.entry == entry_ && holder.id == id) {
      QueueRelease(holder.number, key);
    }
  }

  void SetWriters(std::size_t writers) override {
    const Duration share = Duration(kSecond) *
                           static_cast<std::int64_t>(writers) /
                           options_.append_budget;
    period_ = std::max(options_.batch_period, share);
  }

  std::optional<IntentBatch> NextBatch(Time now) override {
    if (!started_ || under_way_ != 0 || now < next_batch_) {
      return std::nullopt;
    }
    IntentRecord record;
    record.entry = entry_;
    AddReleases(now, &record);
    AddAttempts(&record);
    if (record.attempts.empty() && record.releases.empty() &&
        now < next_marker_) {
      return std::nullopt;
    }
    next_marker_ = now + options_.key_life / kMarkersPerLife;
    under_way_ = ++last_batch_;
    next_batch_ = now + period_;
    return IntentBatch{under_way_, EncodeIntent(record)};
  }

  std::vector<IntentDecision> OnAppendFailed(std::uint64_t batch_id,
                                             Time) override {
    EndBatch(batch_id);
    std::vector<IntentDecision> out;
    for (std::map<std::uint64_t, Pending>::iterator it = pending_.begin();
         it != pending_.end();) {
      if (it->second.batch == batch_id) {
        out.push_back(Unavailable(it->second.id));
        it = Forget(it);
      } else {
        ++it;
      }
    }
    return out;
  }

  void OnAppendSent(std::uint64_t batch_id, Time) override {
    EndBatch(batch_id);
  }

  std::vector<IntentDecision> OnRecord(std::uint64_t offset, WallTime logged,
                                       const std::string& payload,
                                       Time now) override {
    std::vector<IntentDecision> out;
    if (offset < next_offset_) {
      return out;
    }
    if (offset > next_offset_) {
      // Records were lost to this daemon. Any key in them was issued at most
      // max_ahead after the present record's date.
      keys_.RaiseHorizon(logged + Ahead());
    }
    next_offset_ = offset + 1;
    next_marker_ = now + options_.key_life / kMarkersPerLife;
    log_time_ = std::max(log_time_, logged);
    keys_.RaiseHorizon(log_time_ - Life());
    try {
      FoldRecord(DecodeIntent(payload), now, &out);
    } catch (const Error&) {
      // Malformed for every build alike; it holds no key.
    }
    return out;
  }

  void OnCaughtUp(bool caught_up) override { started_ = started_ || caught_up; }

  std::vector<IntentDecision> Tick(Time now, WallTime wall) override {
    wall_ = wall;
    std::vector<IntentDecision> out;
    std::map<std::uint64_t, Pending>::iterator it = pending_.begin();
    while (it != pending_.end() && TimedOut(it->second, now)) {
      out.push_back(Unavailable(it->second.id));
      it = Forget(it);
    }
    return out;
  }

  std::size_t Size() const override { return keys_.Size(); }

 private:
  std::chrono::milliseconds Life() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        options_.key_life);
  }

  std::chrono::milliseconds Ahead() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        options_.max_ahead);
  }

  static IntentDecision Unavailable(const RequestId& id) {
    return {id, IntentResult::kUnavailable, "", ""};
  }

  static IntentDecision Expired(const RequestId& id) {
    return {id, IntentResult::kExpired, "", ""};
  }

  static IntentDecision Lost(const RequestId& id, const KeyHolder& holder) {
    return {id, IntentResult::kLost, holder.id, holder.entry};
  }

  bool TimedOut(const Pending& pending, Time now) const {
    return now - pending.proposed >= options_.decide_timeout;
  }

  bool IsReleasing(const KeyHolder& holder) const {
    return holder.entry == entry_ && releases_.contains(holder.number);
  }

  // An early answer only; the fold judges again by the log's clock.
  bool Refused(const std::string& key) const {
    if (!IsPlain(key)) {
      return true;
    }
    const std::optional<WallTime> issued = KeyDate(key);
    if (!issued) {
      return options_.require_dated_keys;
    }
    const WallTime present = std::max(wall_, log_time_);
    return present != WallTime::min() &&
           (*issued <= present - Life() || *issued > present + Ahead());
  }

  // Whether this daemon can't tell if the key was used.
  bool Forgotten(const std::string& key) const {
    const std::optional<WallTime> issued = KeyDate(key);
    return issued && *issued <= keys_.Horizon();
  }

  std::map<std::uint64_t, Pending>::iterator Forget(
      std::map<std::uint64_t, Pending>::iterator it) {
    waiting_ids_.erase(it->second.id);
    return pending_.erase(it);
  }

  void EndBatch(std::uint64_t batch_id) {
    if (under_way_ == batch_id) {
      under_way_ = 0;
    }
  }

  void QueueRelease(std::uint64_t number, const std::string& key) {
    if (releases_.size() < kMaxReleases) {
      releases_.try_emplace(number, PendingRelease{key, Time::min()});
    }
  }

  // A release is repeated until it is read back; a second one has no effect.
  void AddReleases(Time now, IntentRecord* record) {
    for (auto& [number, release] : releases_) {
      if (record->releases.size() >= options_.max_batch) {
        return;
      }
      if (release.sent == Time::min() ||
          now - release.sent >= options_.decide_timeout) {
        release.sent = now;
        record->releases.push_back({number, release.key});
      }
    }
  }

  void AddAttempts(IntentRecord* record) {
    while (!queue_.empty() && record->attempts.size() < options_.max_batch) {
      const std::uint64_t number = queue_.front();
      queue_.pop_front();
      const std::map<std::uint64_t, Pending>::iterator it =
          pending_.find(number);
      if (it == pending_.end()) {
        continue;
      }
      it->second.batch = last_batch_ + 1;
      record->attempts.push_back({number, it->second.id, it->second.key});
    }
  }

  void FoldRecord(const IntentRecord& record, Time now,
                  std::vector<IntentDecision>* out) {
    for (const IntentRelease& release : record.releases) {
      keys_.Free(release.key, record.entry, release.number);
      if (record.entry == entry_) {
        releases_.erase(release.number);
      }
    }
    for (const IntentAttempt& attempt : record.attempts) {
      FoldAttempt(record.entry, attempt, now, out);
    }
  }

  void FoldAttempt(const std::string& entry, const IntentAttempt& attempt,
                   Time now, std::vector<IntentDecision>* out) {
    const WallTime issued = KeyDate(attempt.key).value_or(log_time_);
    const bool in_time =
        issued > log_time_ - Life() && issued <= log_time_ + Ahead();
    const bool known = issued > keys_.Horizon();
    const KeyHolder self = {entry, attempt.number, attempt.id};
    const bool free = in_time && known && keys_.Take(attempt.key, issued, self);
    if (entry != entry_) {
      return;
    }
    // Elsewhere the attempt may hold the key even if it can't win here.
    const bool may_hold = free || (in_time && !known);
    const std::map<std::uint64_t, Pending>::iterator it =
        pending_.find(attempt.number);
    const bool waits = it != pending_.end() && it->second.id == attempt.id &&
                       it->second.key == attempt.key;
    const bool wins = free && waits && !TimedOut(it->second, now);
    if (may_hold && !wins) {
      QueueRelease(attempt.number, attempt.key);
    }
    if (!waits) {
      return;
    }
    out->push_back(in_time ? Decide(it->second, wins) : Expired(attempt.id));
    Forget(it);
  }

  IntentDecision Decide(const Pending& pending, bool wins) const {
    if (wins) {
      return {pending.id, IntentResult::kWon, pending.id, entry_};
    }
    const KeyHolder holder = keys_.Find(pending.key);
    return holder.entry.empty() || IsReleasing(holder)
               ? Unavailable(pending.id)
               : Lost(pending.id, holder);
  }

  const std::string entry_;
  const IntentOptions options_;
  Duration period_;
  KeyTable keys_;
  std::map<std::uint64_t, Pending> pending_;  // by attempt number
  std::deque<std::uint64_t> queue_;
  std::unordered_set<RequestId> waiting_ids_;
  std::map<std::uint64_t, PendingRelease> releases_;  // by attempt number
  std::uint64_t last_number_ = 0;
  std::uint64_t last_batch_ = 0;
  std::uint64_t under_way_ = 0;  // batch id, 0 if none
  std::uint64_t next_offset_ = 1;
  Time next_batch_ = Time::min();
  // An empty record is due by then, so that the log never runs empty and a
  // fresh daemon finds where its knowledge begins.
  Time next_marker_ = Time::min();
  WallTime log_time_ = WallTime::min();  // latest date in the log
  WallTime wall_ = WallTime::min();
  bool started_ = false;
};

}  // namespace

std::unique_ptr<Intents> Intents::Make(const std::string& entry,
                                       const IntentOptions& options) {
  return std::make_unique<IntentsImpl>(entry, options);
}

}  // namespace hornbeamcleat
