#include "src/standin/log_store.h"

#include <algorithm>

namespace hornbeamcleat {

std::uint64_t LogStore::Append(const std::string& stream,
                               const std::vector<std::string>& payloads,
                               WallTime now, const Retention& retention) {
  Stream& target = streams_[stream];
  const std::uint64_t first = target.next;
  for (const std::string& payload : payloads) {
    target.records.push_back({target.next++, now, payload});
  }
  Expire(&target, now, retention);
  return first;
}

LogRead LogStore::Read(const std::string& stream, std::uint64_t from,
                       std::size_t max, WallTime now,
                       const Retention& retention) {
  Stream& source = streams_[stream];
  Expire(&source, now, retention);
  LogRead out;
  out.next = source.next;
  out.oldest =
      source.records.empty() ? source.next : source.records.front().offset;
  const std::uint64_t start = std::max(from, out.oldest);
  for (std::uint64_t n = start; n < out.next && out.records.size() < max; ++n) {
    out.records.push_back(source.records[n - out.oldest]);
  }
  return out;
}

void LogStore::Expire(Stream* stream, WallTime now,
                      const Retention& retention) {
  std::deque<LogRecord>& records = stream->records;
  while (!records.empty() && (records.size() > retention.records ||
                              now - records.front().time > retention.age)) {
    records.pop_front();
  }
}

}  // namespace hornbeamcleat
