#include "src/relay/target_connection_pool.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "hornbeamcleat/base/clock.h"

namespace hornbeamcleat {
namespace {

/// Longest time that a connection is kept idle. Targets and the network may
/// drop it sooner without notice, and what is sent then is lost.
constexpr Duration kLongestIdle = std::chrono::milliseconds(1'500);
/// Idle connections kept for one target.
constexpr std::size_t kMostIdle = 8;

}  // namespace

TargetConnectionPool::~TargetConnectionPool() = default;

void TargetConnectionPool::Keep(std::unique_ptr<ByteStream> stream,
                                Duration keep_for) {
  const Address target = stream->Peer();
  std::vector<Idle>& idle = idle_[target];
  if (idle.size() >= kMostIdle) {
    return;
  }
  const std::uint64_t number = next_number_++;
  ByteStream::Callbacks callbacks;
  callbacks.on_bytes = [this, target, number](std::string_view) {
    Forget(target, number);
  };
  callbacks.on_end = [this, target, number](StreamEnd) {
    Forget(target, number);
  };
  stream->SetCallbacks(std::move(callbacks));
  idle.push_back({number, std::move(stream),
                  clock_->Now() + std::min(keep_for, kLongestIdle)});
}

std::unique_ptr<ByteStream> TargetConnectionPool::Take(const Address& target) {
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
  dead_.clear();
  const Time now = clock_->Now();
  for (auto& [target, idle] : idle_) {
    std::erase_if(idle,
                  [now](const Idle& item) { return now >= item.usable_until; });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

void TargetConnectionPool::Drop(const Address& target) { idle_.erase(target); }

void TargetConnectionPool::Forget(const Address& target, std::uint64_t number) {
  const auto it = idle_.find(target);
  if (it == idle_.end()) {
    return;
  }
  for (Idle& item : it->second) {
    if (item.number == number) {
      item.stream->Abort();
      dead_.push_back(std::move(item.stream));
    }
  }
  std::erase_if(it->second,
                [](const Idle& item) { return item.stream == nullptr; });
}

}  // namespace hornbeamcleat
