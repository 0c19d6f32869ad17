#include "src/relay/target_connection_pool.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "hornbeamcleat/base/clock.h"

namespace hornbeamcleat {
namespace {

/// Limits reuse of idle connections: targets and the network may drop one
/// without notice, and a request sent on it is lost.
constexpr Duration kMaxIdleTime = std::chrono::milliseconds(1'500);
constexpr std::size_t kMaxIdlePerTarget = 8;

}  // namespace

TargetConnectionPool::~TargetConnectionPool() = default;

void TargetConnectionPool::Release(std::unique_ptr<ByteStream> stream,
                                   Duration keep_for) {
  const Address target = stream->Peer();
  std::vector<Idle>& idle = idle_[target];
  if (idle.size() >= kMaxIdlePerTarget) {
    return;
  }
  const std::uint64_t id = next_id_++;
  ByteStream::Callbacks callbacks;
  callbacks.on_bytes = [this, target, id](std::string_view bytes) {
    Remove(target, id);
    if (on_unsolicited_) {
      on_unsolicited_(target, bytes);
    }
  };
  callbacks.on_end = [this, target, id](StreamEnd) { Remove(target, id); };
  stream->SetCallbacks(std::move(callbacks));
  idle.push_back({id, std::move(stream),
                  clock_->Now() + std::min(keep_for, kMaxIdleTime)});
}

std::unique_ptr<ByteStream> TargetConnectionPool::Acquire(
    const Address& target) {
  const auto it = idle_.find(target);
  if (it == idle_.end()) {
    return nullptr;
  }
  const Time now = clock_->Now();
  while (!it->second.empty()) {
    Idle newest = std::move(it->second.back());
    it->second.pop_back();
    if (now < newest.usable_until) {
      return std::move(newest.stream);
    }
  }
  return nullptr;
}

void TargetConnectionPool::CloseExpired() {
  closed_streams_.clear();
  const Time now = clock_->Now();
  for (auto& [target, idle] : idle_) {
    std::erase_if(idle,
                  [now](const Idle& item) { return now >= item.usable_until; });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

void TargetConnectionPool::Drop(const Address& target) { idle_.erase(target); }

void TargetConnectionPool::Remove(const Address& target, std::uint64_t id) {
  const auto it = idle_.find(target);
  if (it == idle_.end()) {
    return;
  }
  for (Idle& item : it->second) {
    if (item.id == id) {
      item.stream->Abort();
      closed_streams_.push_back(std::move(item.stream));
    }
  }
  std::erase_if(it->second,
                [](const Idle& item) { return item.stream == nullptr; });
}

}  // namespace hornbeamcleat
