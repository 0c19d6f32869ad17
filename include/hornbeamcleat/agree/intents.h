#ifndef HORNBEAMCLEAT_AGREE_INTENTS_H_
#define HORNBEAMCLEAT_AGREE_INTENTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "hornbeamcleat/schedule/event.h"
#include "hornbeamcleat/schedule/request.h"

namespace hornbeamcleat {

/// Settings of the intent protocol.
struct IntentOptions {
  Duration batch_period = std::chrono::milliseconds(30);
  std::size_t max_batch = 256;
  /// Pending attempts become unavailable if they are not read back from the log
  /// within this time.
  Duration decide_timeout = std::chrono::seconds(2);
  /// Older keys are rejected. Must be shorter than the log's retention.
  Duration key_life = std::chrono::hours(1);
  /// Keys dated further than this ahead of the log's clock are rejected.
  Duration max_clock_skew = std::chrono::minutes(1);
  /// Rejects keys without a date (see KeyDate): once the record of such a key
  /// has expired, a resent key can't be distinguished from a new one. If false,
  /// an undated key is recognized only while its first record is held.
  bool require_dated_keys = true;
  /// Maximum number of keys held. Beyond it the oldest keys are evicted, and
  /// keys of the same age or older are rejected.
  std::size_t max_keys = 500'000;
  /// Limit over all writers together; see SetWriterCount.
  int max_appends_per_second = 240;

  bool operator==(const IntentOptions&) const = default;
};

/// Outcome of one attempt.
struct IntentDecision {
  RequestId id;
  IntentResult result = IntentResult::kUnavailable;
  RequestId winner;  ///< attempt that holds the key, if this one lost
  std::string winner_entry;

  bool operator==(const IntentDecision&) const = default;
};

/// Batch of attempts and releases to append to the log as one record.
struct IntentBatch {
  std::uint64_t batch_id = 0;
  std::string payload;

  bool operator==(const IntentBatch&) const = default;
};

/// Decides which attempt of a non-idempotent request may run: the one whose
/// intent has the lowest log offset for its key. An attempt wins only when its
/// own record is read back from the log and no earlier record holds the key, so
/// the outcome never depends on an append response that may be lost. An attempt
/// that timed out can't win later; if its record still appears and holds the
/// key, a release record frees the key for later attempts. Key expiry is
/// evaluated against the log's clock. Performs no I/O; not thread-safe.
class Intents {
 public:
  /// @param entry name and incarnation of this entry daemon
  static std::unique_ptr<Intents> Make(const std::string& entry,
                                       const IntentOptions& options);

  virtual ~Intents() = default;

  /// Proposes an attempt. The key should carry its date of issue (see KeyDate).
  /// @return a decision if the key is already held or is rejected; otherwise a
  ///   later call returns it. An id that is already pending is ignored.
  virtual std::optional<IntentDecision> Propose(const RequestId& id,
                                                const std::string& key,
                                                Time now) = 0;

  /// Frees the key that attempt `id` of this entry won, so that later attempts
  /// may win it. Call this only if the attempt has not run and never will.
  virtual void Release(const RequestId& id, const std::string& key) = 0;

  /// Sets the number of daemons that append intents. The batch period grows
  /// with it so that all of them together stay below max_appends_per_second.
  virtual void SetWriterCount(std::size_t writers) = 0;

  /// Returns the next batch if one is due and no append is in flight.
  virtual std::optional<IntentBatch> NextBatch(Time now) = 0;

  /// The append is known not to have happened: its attempts are unavailable.
  virtual std::vector<IntentDecision> OnAppendFailed(std::uint64_t batch_id,
                                                     Time now) = 0;

  /// The append succeeded, or its response was lost. Reading the log decides.
  virtual void OnAppendSent(std::uint64_t batch_id, Time now) = 0;

  /// Applies a record of the intent stream. Call in offset order.
  virtual std::vector<IntentDecision> OnRecord(std::uint64_t offset,
                                               WallTime logged,
                                               const std::string& payload,
                                               Time now) = 0;

  /// Reports whether all records have been read. Nothing is appended until this
  /// is first true.
  virtual void OnCaughtUp(bool caught_up) = 0;

  /// Times out pending attempts and updates the wall clock.
  virtual std::vector<IntentDecision> Tick(Time now, WallTime wall) = 0;

  /// Number of keys held.
  virtual std::size_t Size() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_AGREE_INTENTS_H_
