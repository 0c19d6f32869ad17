#include "src/standin/engine_streams.h"

#include <fmt/format.h>

#include <utility>

namespace hornbeamcleat {

EngineStream* EngineStreams::Find(const std::string& id) {
  const auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : &it->second.stream;
}

void EngineStreams::Remove(const std::string& id, CallerFront* front) {
  const auto range = handles_.equal_range(id);
  for (auto it = range.first; it != range.second; ++it) {
    readers_.erase(it->second);
    front->End(it->second);
  }
  handles_.erase(id);
  streams_.erase(id);
}

void EngineStreams::Read(const std::string& id, std::uint64_t handle,
                         std::int64_t after, CallerFront* front) {
  CallerAnswer head;
  head.content_type = "text/event-stream";
  head.headers["Request-Id"] = id;
  front->Begin(handle, head);
  readers_[handle] = {id, after + 1, false};
  handles_.emplace(id, handle);
  ++streams_[id].readers;
  Flush(id, front);
}

void EngineStreams::Flush(const std::string& id, CallerFront* front) {
  const EngineStream* stream = Find(id);
  if (stream == nullptr) {
    return;
  }
  const std::int64_t count = PartCount(*stream);
  const auto range = handles_.equal_range(id);
  for (auto it = range.first; it != range.second; ++it) {
    Reader& reader = readers_[it->second];
    if (reader.silent) {
      continue;
    }
    std::string bytes;
    while (reader.next <= count) {
      bytes += FormatPart(*stream, reader.next++);
    }
    if (!bytes.empty()) {
      front->Write(it->second, bytes);
    }
    if (stream->state == StreamState::kFailed) {
      front->Abandon(it->second);
    } else if (stream->state != StreamState::kOpen) {
      front->End(it->second);
    }
  }
}

void EngineStreams::Close(std::uint64_t handle, Time now) {
  const auto reader = readers_.find(handle);
  if (reader == readers_.end()) {
    return;
  }
  const auto range = handles_.equal_range(reader->second.id);
  for (auto it = range.first; it != range.second; ++it) {
    if (it->second == handle) {
      handles_.erase(it);
      break;
    }
  }
  const auto entry = streams_.find(reader->second.id);
  if (entry != streams_.end() && --entry->second.readers == 0) {
    entry->second.stream.touched = now;
  }
  readers_.erase(reader);
}

void EngineStreams::Silence() {
  for (auto& [handle, reader] : readers_) {
    reader.silent = true;
  }
}

std::vector<std::string> EngineStreams::Abandoned(Time before) const {
  std::vector<std::string> out;
  for (const auto& [id, entry] : streams_) {
    if (entry.stream.state == StreamState::kOpen && entry.readers == 0 &&
        entry.stream.touched < before) {
      out.push_back(id);
    }
  }
  return out;
}

void EngineStreams::Expire(Time before) {
  std::erase_if(streams_, [before](const auto& each) {
    const Entry& entry = each.second;
    return entry.stream.state != StreamState::kOpen && entry.readers == 0 &&
           entry.stream.touched < before;
  });
}

std::int64_t PartCount(const EngineStream& stream) {
  const bool whole = stream.state == StreamState::kWhole;
  return stream.generated + (whole ? 2 : 0);
}

std::string FormatPart(const EngineStream& stream, std::int64_t n) {
  if (n == stream.generated + 2) {
    return fmt::format("id: {}\ndata: [DONE]\n\n", n);
  }
  const std::string head = fmt::format(
      R"({{"id":"{}","object":"chat.completion.chunk","model":"{}")", stream.id,
      stream.model);
  if (n == stream.generated + 1 && stream.state == StreamState::kWhole) {
    return fmt::format(
        "id: {}\ndata: {},\"choices\":[],\"usage\":{{\"prompt_tokens\":{},"
        "\"cached_tokens\":{},\"completion_tokens\":{}}}}}\n\n",
        n, head, stream.prompt_tokens, stream.cached_tokens, stream.generated);
  }
  const std::string finish = n == stream.max_tokens ? "\"length\"" : "null";
  return fmt::format(
      "id: {}\ndata: {},\"choices\":[{{\"index\":0,\"delta\":{{\"content\":"
      "\"t{} \"}},\"finish_reason\":{}}}]}}\n\n",
      n, head, n, finish);
}

}  // namespace hornbeamcleat
