#include "src/schedule/tier_floor.h"

#include <algorithm>
#include <iterator>

namespace hornbeamcleat {

bool TierFloor::OnShortage(int rank, Time now) {
  const auto above = ranks_.upper_bound(rank);
  if (above == ranks_.end()) {
    return false;
  }
  if (own_closed_ <= *above) {
    // A shortage extends only the closing that it needs.
    if (own_closed_ == *above) {
      last_shortage_ = now;
    }
    return false;
  }
  if (own_closed_ != kNoFloor && now < closed_since_ + settle_) {
    return false;
  }
  own_closed_ = *std::prev(ranks_.lower_bound(own_closed_));
  closed_since_ = now;
  last_shortage_ = now;
  return true;
}

void TierFloor::SetPeerClosed(int rank) {
  peer_reported_ = rank;
  peer_closed_ = std::min(peer_closed_, rank);
}

void TierFloor::Tick(Time now) {
  if (peer_closed_ < peer_reported_ && now >= peer_raised_at_ + settle_) {
    const auto above = ranks_.upper_bound(peer_closed_);
    peer_closed_ = above == ranks_.end() ? peer_reported_
                                         : std::min(*above, peer_reported_);
    peer_raised_at_ = now;
  }
  if (own_closed_ == kNoFloor || now < last_shortage_ + hold_) {
    return;
  }
  const auto next = ranks_.upper_bound(own_closed_);
  own_closed_ = next == ranks_.end() ? kNoFloor : *next;
  last_shortage_ = now;
}

bool TierFloor::Closed(int rank) const { return rank >= LeastClosed(); }

Duration TierFloor::TimeToClose(int rank) const {
  return std::distance(ranks_.upper_bound(rank), ranks_.end()) * settle_;
}

int TierFloor::LeastClosed() const {
  return std::min(own_closed_, peer_closed_);
}

bool TierFloor::MayShed(int rank, Time now) const {
  const auto next = ranks_.upper_bound(rank);
  if (next == ranks_.end()) {
    return true;
  }
  return own_closed_ <= *next && now >= closed_since_ + settle_;
}

}  // namespace hornbeamcleat
