#ifndef HORNBEAMCLEAT_SRC_STANDIN_ENGINE_STREAMS_H_
#define HORNBEAMCLEAT_SRC_STANDIN_ENGINE_STREAMS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "hornbeamcleat/base/time.h"
#include "src/net/caller_front.h"

namespace hornbeamcleat {

/// How far a stream got.
enum class StreamState { kOpen, kWhole, kFailed, kCancelled };

/// Answer that an engine generates and keeps for a while.
struct EngineStream {
  std::string id;
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t max_tokens = 0;
  std::int64_t cut_after = 0;  ///< fails after this many parts; 0: never
  std::int64_t generated = 0;  ///< tokens, one a part
  StreamState state = StreamState::kOpen;
  Time touched;  ///< when it ended or lost its last reader
};

/// Streams of one engine and the exchanges that read them.
class EngineStreams {
 public:
  /// Adds a stream whose id is not known yet.
  void Add(const EngineStream& stream) { streams_[stream.id] = {stream, 0}; }

  /// Stream `id`, or nullptr.
  EngineStream* Find(const std::string& id);

  /// Forgets stream `id` and ends its readers.
  void Remove(const std::string& id, CallerFront* front);

  /// Streams parts after `after` to exchange `handle`.
  void Read(const std::string& id, std::uint64_t handle, std::int64_t after,
            CallerFront* front);

  /// Writes new parts of stream `id` to its readers; ends them with it.
  void Flush(const std::string& id, CallerFront* front);

  /// Exchange `handle` closed.
  void Close(std::uint64_t handle, Time now);

  /// Writes no more on exchanges open now.
  void Silence();

  /// Open streams without a reader since `before`.
  std::vector<std::string> Abandoned(Time before) const;

  /// Forgets streams that ended before `before`.
  void Expire(Time before);

 private:
  struct Entry {
    EngineStream stream;
    int readers = 0;
  };
  struct Reader {
    std::string id;
    std::int64_t next = 1;  ///< part to send next
    bool silent = false;
  };

  std::unordered_map<std::string, Entry> streams_;
  std::map<std::uint64_t, Reader> readers_;            ///< by handle
  std::multimap<std::string, std::uint64_t> handles_;  ///< by stream id
};

/// Number of parts that `stream` has so far; a whole one ends with usage and
/// "[DONE]".
std::int64_t PartCount(const EngineStream& stream);

/// Server-sent event of part `n`, from 1.
std::string FormatPart(const EngineStream& stream, std::int64_t n);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_ENGINE_STREAMS_H_
