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
  std::size_t max_keys = 2'000'000;  ///< held; beyond it new ones are refused

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
/// won afterwards, although its record may still appear and hold the key. Has
/// no I/O; not thread-safe.
class Intents {
 public:
  /// @param entry this entry's name and incarnation
  static std::unique_ptr<Intents> Make(const std::string& entry,
                                       const IntentOptions& options);

  virtual ~Intents() = default;

  /// Takes an attempt. `issued` is the date in the caller's key, if it has one.
  /// @return a decision at once if the key is known or refused
  virtual std::optional<IntentDecision> Propose(const RequestId& id,
                                                const std::string& key,
                                                Time now) = 0;

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

  /// Tells how far the stream has been read; until a fresh daemon has read all
  /// kept records it decides nothing.
  virtual void OnCaughtUp(bool caught_up) = 0;

  /// Ends attempts that waited too long and drops expired keys.
  virtual std::vector<IntentDecision> Tick(Time now, WallTime wall) = 0;

  /// Keys held.
  virtual std::size_t Size() const = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_AGREE_INTENTS_H_
