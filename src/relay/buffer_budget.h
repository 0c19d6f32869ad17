#ifndef HORNBEAMCLEAT_SRC_RELAY_BUFFER_BUDGET_H_
#define HORNBEAMCLEAT_SRC_RELAY_BUFFER_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace hornbeamcleat {

/// Bounds the bytes that many holders keep in memory together. While the sum is
/// within the limit, each one has only its own maximum. Above it, each has an
/// equal part of the limit, so that those that hold most are ended first, and
/// above twice the limit only the few kilobytes that any holder may keep.
class BufferBudget {
 public:
  /// Bytes of one holder; returned when it is destroyed.
  class Share {
   public:
    /// @param budget may be null, for a holder without a common limit
    explicit Share(std::shared_ptr<BufferBudget> budget)
        : budget_(std::move(budget)) {}
    ~Share() { Set(0); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Sets the number of bytes that the holder keeps now.
    void Set(std::size_t bytes);
    /// Whether the holder keeps more than its part of an exceeded limit.
    bool ExceedsPart() const;
    bool Exceeds(std::size_t max) const {
      return bytes_ > max || ExceedsPart();
    }

   private:
    const std::shared_ptr<BufferBudget> budget_;
    std::size_t bytes_ = 0;
  };

  explicit BufferBudget(std::size_t limit) : limit_(limit) {}

  std::size_t Held() const { return held_; }

 private:
  const std::size_t limit_;
  std::size_t held_ = 0;
  std::size_t holders_ = 0;  ///< that hold any bytes
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_RELAY_BUFFER_BUDGET_H_
