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

constexpr std::size_t kMaxIdentifierBytes = 512;
constexpr std::size_t kMaxPending = 20'000;
constexpr std::size_t kMaxReleases = 20'000;
constexpr std::chrono::seconds kSecond(1);
constexpr int kHeartbeatsPerKeyLife = 4;

// Whether `text` is a key or id that JSON encodes without escapes.
bool IsValidIdentifier(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdentifierBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

struct PendingAttempt {
  RequestId id;
  std::string key;
  Time proposed;
  std::uint64_t batch_id = 0;  // 0 until sent
};

struct PendingRelease {
  std::string key;
  Time last_sent = Time::min();
};

class IntentsImpl : public Intents {
 public:
  IntentsImpl(std::string entry, const IntentOptions& options)
      : entry_(std::move(entry)),
        options_(options),
        batch_period_(options.batch_period),
        keys_(options.max_keys) {}

  std::optional<IntentDecision> Propose(const RequestId& id,
                                        const std::string& key,
                                        Time now) override {
    if (pending_ids_.contains(id)) {
      return std::nullopt;
    }
    const KeyHolder holder = keys_.Find(key);
    if (!holder.entry.empty() && !IsReleasing(holder)) {
      return Lost(id, holder);
    }
    if (!IsValidIdentifier(id) || IsRejectedKey(key)) {
      return Expired(id);
    }
    if (MayHaveBeenEvicted(key) || pending_.size() >= kMaxPending) {
      return Unavailable(id);
    }
    const std::uint64_t number = ++last_attempt_number_;
    pending_[number] = {id, key, now, 0};
    unsent_attempts_.push_back(number);
    pending_ids_.insert(id);
    return std::nullopt;
  }

  void Release(const RequestId& id, const std::string& key) override {
    const KeyHolder holder = keys_.Find(key);
    if (holder.entry == entry_ && holder.id == id) {
      QueueRelease(holder.number, key);
    }
  }

  void SetWriterCount(std::size_t writers) override {
    const Duration share = Duration(kSecond) *
                           static_cast<std::int64_t>(writers) /
                           options_.max_appends_per_second;
    batch_period_ = std::max(options_.batch_period, share);
  }

  std::optional<IntentBatch> NextBatch(Time now) override {
    if (!has_caught_up_ || batch_in_flight_ != 0 || now < next_batch_time_) {
      return std::nullopt;
    }
    IntentRecord record;
    record.entry = entry_;
    AddReleases(now, &record);
    AddAttempts(&record);
    if (record.attempts.empty() && record.releases.empty() &&
        now < next_heartbeat_) {
      return std::nullopt;
    }
    next_heartbeat_ = now + options_.key_life / kHeartbeatsPerKeyLife;
    batch_in_flight_ = ++last_batch_id_;
    next_batch_time_ = now + batch_period_;
    return IntentBatch{batch_in_flight_, EncodeIntent(record)};
  }

  std::vector<IntentDecision> OnAppendFailed(std::uint64_t batch_id,
                                             Time) override {
    FinishBatch(batch_id);
    std::vector<IntentDecision> out;
    for (std::map<std::uint64_t, PendingAttempt>::iterator it =
             pending_.begin();
         it != pending_.end();) {
      if (it->second.batch_id == batch_id) {
        out.push_back(Unavailable(it->second.id));
        it = ErasePending(it);
      } else {
        ++it;
      }
    }
    return out;
  }

  void OnAppendSent(std::uint64_t batch_id, Time) override {
    FinishBatch(batch_id);
  }

  std::vector<IntentDecision> OnRecord(std::uint64_t offset, WallTime logged,
                                       const std::string& payload,
                                       Time now) override {
    std::vector<IntentDecision> out;
    if (offset < next_offset_) {
      return out;
    }
    if (offset > next_offset_) {
      // This daemon missed records. Every key in them was issued no later than
      // max_clock_skew after the time of the current record.
      keys_.EvictThrough(logged + MaxClockSkew());
    }
    next_offset_ = offset + 1;
    next_heartbeat_ = now + options_.key_life / kHeartbeatsPerKeyLife;
    latest_log_time_ = std::max(latest_log_time_, logged);
    keys_.EvictThrough(latest_log_time_ - KeyLife());
    try {
      ApplyRecord(DecodeIntent(payload), now, &out);
    } catch (const Error&) {
      // Every build rejects a malformed record; it holds no key.
    }
    return out;
  }

  void OnCaughtUp(bool caught_up) override {
    has_caught_up_ = has_caught_up_ || caught_up;
  }

  std::vector<IntentDecision> Tick(Time now, WallTime wall) override {
    wall_time_ = wall;
    std::vector<IntentDecision> out;
    std::map<std::uint64_t, PendingAttempt>::iterator it = pending_.begin();
    while (it != pending_.end() && TimedOut(it->second, now)) {
      out.push_back(Unavailable(it->second.id));
      it = ErasePending(it);
    }
    return out;
  }

  std::size_t Size() const override { return keys_.Size(); }

 private:
  std::chrono::milliseconds KeyLife() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        options_.key_life);
  }

  std::chrono::milliseconds MaxClockSkew() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        options_.max_clock_skew);
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

  bool TimedOut(const PendingAttempt& pending, Time now) const {
    return now - pending.proposed >= options_.decide_timeout;
  }

  bool IsReleasing(const KeyHolder& holder) const {
    return holder.entry == entry_ && pending_releases_.contains(holder.number);
  }

  // Rejects early; ApplyAttempt checks again using the log's clock.
  bool IsRejectedKey(const std::string& key) const {
    if (!IsValidIdentifier(key)) {
      return true;
    }
    const std::optional<WallTime> issued = KeyDate(key);
    if (!issued) {
      return options_.require_dated_keys;
    }
    const WallTime present = std::max(wall_time_, latest_log_time_);
    return present != WallTime::min() && (*issued <= present - KeyLife() ||
                                          *issued > present + MaxClockSkew());
  }

  // Whether the key may have been used by an attempt whose record was evicted
  // or never read.
  bool MayHaveBeenEvicted(const std::string& key) const {
    const std::optional<WallTime> issued = KeyDate(key);
    return issued && *issued <= keys_.EvictedThrough();
  }

  std::map<std::uint64_t, PendingAttempt>::iterator ErasePending(
      std::map<std::uint64_t, PendingAttempt>::iterator it) {
    pending_ids_.erase(it->second.id);
    return pending_.erase(it);
  }

  void FinishBatch(std::uint64_t batch_id) {
    if (batch_in_flight_ == batch_id) {
      batch_in_flight_ = 0;
    }
  }

  void QueueRelease(std::uint64_t number, const std::string& key) {
    if (pending_releases_.size() < kMaxReleases) {
      pending_releases_.try_emplace(number, PendingRelease{key, Time::min()});
    }
  }

  // Resends each release until it is read back. Duplicates have no effect.
  void AddReleases(Time now, IntentRecord* record) {
    for (auto& [number, release] : pending_releases_) {
      if (record->releases.size() >= options_.max_batch) {
        return;
      }
      if (release.last_sent == Time::min() ||
          now - release.last_sent >= options_.decide_timeout) {
        release.last_sent = now;
        record->releases.push_back({number, release.key});
      }
    }
  }

  void AddAttempts(IntentRecord* record) {
    while (!unsent_attempts_.empty() &&
           record->attempts.size() < options_.max_batch) {
      const std::uint64_t number = unsent_attempts_.front();
      unsent_attempts_.pop_front();
      const std::map<std::uint64_t, PendingAttempt>::iterator it =
          pending_.find(number);
      if (it == pending_.end()) {
        continue;
      }
      it->second.batch_id = last_batch_id_ + 1;
      record->attempts.push_back({number, it->second.id, it->second.key});
    }
  }

  void ApplyRecord(const IntentRecord& record, Time now,
                   std::vector<IntentDecision>* out) {
    for (const IntentRelease& release : record.releases) {
      keys_.Release(release.key, record.entry, release.number);
      if (record.entry == entry_) {
        pending_releases_.erase(release.number);
      }
    }
    for (const IntentAttempt& attempt : record.attempts) {
      ApplyAttempt(record.entry, attempt, now, out);
    }
  }

  void ApplyAttempt(const std::string& entry, const IntentAttempt& attempt,
                    Time now, std::vector<IntentDecision>* out) {
    const WallTime issued = KeyDate(attempt.key).value_or(latest_log_time_);
    const bool in_time = issued > latest_log_time_ - KeyLife() &&
                         issued <= latest_log_time_ + MaxClockSkew();
    const bool known = issued > keys_.EvictedThrough();
    const KeyHolder self = {entry, attempt.number, attempt.id};
    const bool claimed =
        in_time && known && keys_.Claim(attempt.key, issued, self);
    if (entry != entry_) {
      return;
    }
    // Other daemons may consider the key held even if this one lacks the
    // records to decide.
    const bool may_hold = claimed || (in_time && !known);
    const std::map<std::uint64_t, PendingAttempt>::iterator it =
        pending_.find(attempt.number);
    const bool pending = it != pending_.end() && it->second.id == attempt.id &&
                         it->second.key == attempt.key;
    const bool wins = claimed && pending && !TimedOut(it->second, now);
    if (may_hold && !wins) {
      QueueRelease(attempt.number, attempt.key);
    }
    if (!pending) {
      return;
    }
    out->push_back(in_time ? Decide(it->second, wins) : Expired(attempt.id));
    ErasePending(it);
  }

  IntentDecision Decide(const PendingAttempt& pending, bool wins) const {
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
  Duration batch_period_;
  KeyTable keys_;
  std::map<std::uint64_t, PendingAttempt> pending_;  // by attempt number
  std::deque<std::uint64_t> unsent_attempts_;
  std::unordered_set<RequestId> pending_ids_;
  std::map<std::uint64_t, PendingRelease>
      pending_releases_;  // by attempt number
  std::uint64_t last_attempt_number_ = 0;
  std::uint64_t last_batch_id_ = 0;
  std::uint64_t batch_in_flight_ = 0;  // batch id; 0 if none
  std::uint64_t next_offset_ = 1;
  Time next_batch_time_ = Time::min();
  // When an empty record is due. It keeps the log from becoming empty, so that
  // a newly started daemon can tell which records it has missed.
  Time next_heartbeat_ = Time::min();
  WallTime latest_log_time_ = WallTime::min();
  WallTime wall_time_ = WallTime::min();
  bool has_caught_up_ = false;
};

}  // namespace

std::unique_ptr<Intents> Intents::Make(const std::string& entry,
                                       const IntentOptions& options) {
  return std::make_unique<IntentsImpl>(entry, options);
}

}  // namespace hornbeamcleat
