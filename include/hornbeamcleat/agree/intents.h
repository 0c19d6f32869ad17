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

/// Tunables of the intent protocol.
struct IntentOptions {
  Duration batch_period = std::chrono::milliseconds(30);
  std::size_t max_batch = 256;
  /// Without an answer from the log for this long, waiting attempts fail.
  Duration decide_timeout = std::chrono::seconds(2);
  /// Keys issued longer ago are refused; less than the log's retention.
  Duration key_life = std::chrono::hours(1);
  /// Keys dated further ahead of the log's clock are refused.
  Duration max_ahead = std::chrono::minutes(1);
  /// Refuses keys without a date (see KeyDate), since a resent one can't be
  /// told from a new one once its record has expired. If false, such a key is
  /// recognised only while its first record is remembered.
  bool require_dated_keys = true;
  /// Keys held; beyond it the oldest are forgotten and keys as old refused.
  std::size_t max_keys = 500'000;
  /// Appends per second of all writers together; see SetWriters.
  int append_budget = 240;

  bool operator==(const IntentOptions&) const = default;
};

/// Decision on one attempt.
struct IntentDecision {
  RequestId id;
  IntentResult result = IntentResult::kUnavailable;
  RequestId winner;  ///< attempt that holds the key when this one lost
  std::string winner_entry;

  bool operator==(const IntentDecision&) const = default;
};

/// Batch of intents to append as one record.
struct IntentBatch {
  std::uint64_t batch_id = 0;
  std::string payload;

  bool operator==(const IntentBatch&) const = default;
};

/// Decides which attempt of a non-idempotent request may run: the one whose
/// intent has the lowest log offset for its key. An attempt is won only when
/// its own record was read back from the log with none before it, so a lost
/// append answer is never guessed at. An attempt that was given up is never
/// won afterwards; if its record still appears and holds the key, a release
/// record frees the key for later attempts. Expiry is judged by the log's own
/// clock. Has no I/O; not thread-safe.
class Intents {
 public:
  /// @param entry this entry's name and incarnation
  static std::unique_ptr<Intents> Make(const std::string& entry,
                                       const IntentOptions& options);

  virtual ~Intents() = default;

  /// Takes an attempt. The key should carry its date of issue (see KeyDate).
  /// @return a decision at once if the key is known or refused; otherwise the
  ///   decision comes from a later call. An id that waits already is ignored.
  virtual std::optional<IntentDecision> Propose(const RequestId& id,
                                                const std::string& key,
                                                Time now) = 0;

  /// Frees the key that attempt `id` of this entry won. Only for an attempt
  /// that surely did not run and never will; later attempts may then win.
  virtual void Release(const RequestId& id, const std::string& key) = 0;

  /// Number of daemons that append intents; the batch period grows with it so
  /// that all together stay under the append budget.
  virtual void SetWriters(std::size_t writers) = 0;

  /// The next batch to append, if one is due and none is under way.
  virtual std::optional<IntentBatch> NextBatch(Time now) = 0;

  /// The append was surely not done: its attempts are unavailable.
  virtual std::vector<IntentDecision> OnAppendFailed(std::uint64_t batch_id,
                                                     Time now) = 0;

  /// The append was done, or its answer was lost; reading decides.
  virtual void OnAppendSent(std::uint64_t batch_id, Time now) = 0;

  /// Folds a record of the intent stream, in offset order.
  virtual std::vector<IntentDecision> OnRecord(std::uint64_t offset,
                                               WallTime logged,
                                               const std::string& payload,
                                               Time now) = 0;

  /// Tells whether all records were read; until the first time, nothing is
  /// appended.
  virtual void OnCaughtUp(bool caught_up) = 0;

  /// Ends attempts that waited too long and drops expired keys.
  virtual std::vector<IntentDecision> Tick(Time now, WallTime wall) = 0;

  /// Keys held.
  virtual std::size_t Size() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_AGREE_INTENTS_H_
