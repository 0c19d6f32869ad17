#ifndef HORNBEAMCLEAT_SRC_RELAY_BUFFER_BUDGET_H_
#define HORNBEAMCLEAT_SRC_RELAY_BUFFER_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace hornbeamcleat {

/// Bounds the bytes that many holders keep in memory together. While the sum is
/// within the limit, each one has only its own maximum. Above it, each has an
/// equal part of the limit, so that those that hold most are ended first, and
/// above twice the limit only the few kilobytes that any holder may keep.
///
/// Holders that may be ended by others register a callback. They make the limit
/// hold also against holders that stop growing (see MakeRoom).
///
/// Load pattern: many callers whose requests stop just short of their end.
class BufferBudget {
 public:
  /// Bytes of one holder; returned when it is destroyed.
  class Share {
   public:
    /// @param budget may be null, for a holder without a common limit
    explicit Share(std::shared_ptr<BufferBudget> budget)
        : budget_(std::move(budget)) {}
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Sets the number of bytes that the holder keeps now.
    void Set(std::size_t bytes);
    /// Whether the holder keeps more than its part of an exceeded limit.
    bool ExceedsPart() const;
    bool Exceeds(std::size_t max) const {
      return bytes_ > max || ExceedsPart();
    }

    /// Sets the callback by which MakeRoom of another holder ends this one.
    void SetReclaim(std::function<void()> reclaim);
    /// Whether MakeRoom of another holder may end this one; false at first.
    void SetReclaimable(bool is_reclaimable);
    /// Ends other holders while the sum is above the limit: those that have
    /// stopped growing first, the largest of them first, then larger ones than
    /// this if it keeps at most its part. Returns whether this holder may keep
    /// its bytes; any holder may keep a few kilobytes.
    bool MakeRoom();

   private:
    friend class BufferBudget;

    bool IsStalled() const;

    const std::shared_ptr<BufferBudget> budget_;
    std::function<void()> reclaim_;
    std::size_t bytes_ = 0;
    std::uint64_t grown_at_ = 0;  ///< number of the last growth, of all holders
    bool is_reclaimable_ = false;
  };

  explicit BufferBudget(std::size_t limit) : limit_(limit) {}

  std::size_t Held() const { return held_; }

 private:
  std::size_t Part() const;
  /// Largest holder that may be ended besides `asking`; nullptr if none.
  Share* FindLargest(const Share* asking, bool only_stalled) const;
  void End(Share* share);

  const std::size_t limit_;
  std::size_t held_ = 0;
  std::size_t holders_ = 0;  ///< that hold any bytes
  std::uint64_t growths_ = 0;
  std::set<Share*> reclaimable_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_BUFFER_BUDGET_H_
