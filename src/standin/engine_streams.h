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

/// State of a response stream.
enum class StreamState { kOpen, kWhole, kFailed, kCancelled };

/// Response stream that an engine generates and retains for resumption.
struct EngineStream {
  std::string id;
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t max_tokens = 0;
  std::int64_t cut_after = 0;  ///< fails after this many parts; 0: never
  std::int64_t generated = 0;  ///< tokens, one per part
  StreamState state = StreamState::kOpen;
  Time touched;  ///< when it ended or lost its last reader
};

/// Response streams of one engine and the HTTP exchanges that read them.
class EngineStreams {
 public:
  /// Adds a stream with a new id.
  void Add(const EngineStream& stream) { streams_[stream.id] = {stream, 0}; }

  /// Returns stream `id`, or nullptr.
  EngineStream* Find(const std::string& id);

  /// Removes stream `id` and closes its readers.
  void Remove(const std::string& id, CallerFront* front);

  /// Sends the parts after number `after` to exchange `handle`, including those
  /// generated later.
  void Read(const std::string& id, std::uint64_t handle, std::int64_t after,
            CallerFront* front);

  /// Writes new parts of stream `id` to its readers, and closes the readers
  /// once the stream has ended.
  void Flush(const std::string& id, CallerFront* front);

  /// Removes the reader on the closed exchange `handle`.
  void Close(std::uint64_t handle, Time now);

  /// Stops writing to the current readers, without closing them.
  void Silence();

  /// Returns the open streams that have had no reader since `before`.
  std::vector<std::string> Abandoned(Time before) const;

  /// Removes streams that ended before `before`.
  void Expire(Time before);

 private:
  struct Entry {
    EngineStream stream;
    int readers = 0;
  };
  struct Reader {
    std::string id;
    std::int64_t next = 1;  ///< next part to send
    bool silent = false;
  };

  std::unordered_map<std::string, Entry> streams_;
  std::map<std::uint64_t, Reader> readers_;            ///< by handle
  std::multimap<std::string, std::uint64_t> handles_;  ///< by stream id
};

/// Number of parts available in `stream`. A complete stream ends with a usage
/// part and "[DONE]".
std::int64_t PartCount(const EngineStream& stream);

/// Formats part `n`, counted from 1, as a server-sent event.
std::string FormatPart(const EngineStream& stream, std::int64_t n);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_ENGINE_STREAMS_H_
