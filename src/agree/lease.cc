#include "hornbeamcleat/agree/lease.h"

#include <algorithm>
#include <map>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/hash.h"
#include "src/agree/lease_record.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxUnconfirmedAppends = 64;
constexpr int kClaimJitterDivisor = 4;  // jitter of up to ttl / 4

class LeaseImpl : public Lease {
 public:
  LeaseImpl(std::string name, std::string holder, const LeaseOptions& options)
      : name_(std::move(name)), self_(std::move(holder)), options_(options) {
    const std::uint64_t width =
        static_cast<std::uint64_t>(options_.ttl.count() / kClaimJitterDivisor) +
        1;
    claim_jitter_ = Duration(static_cast<Duration::rep>(Hash64(self_) % width));
  }

  std::optional<std::string> Due(Time now) override {
    // A term recorded before this member started to read may still be running.
    if (claim_allowed_at_ == Time::min()) {
      claim_allowed_at_ = now + options_.ttl;
    }
    if (append_in_flight_ || now < next_renewal_ || !MayClaim(now)) {
      return std::nullopt;
    }
    append_in_flight_ = true;
    next_renewal_ = now + options_.renew_period;
    unconfirmed_appends_[++last_record_number_] = now;
    if (unconfirmed_appends_.size() > kMaxUnconfirmedAppends) {
      unconfirmed_appends_.erase(unconfirmed_appends_.begin());
    }
    return EncodeLease({name_, self_, last_record_number_, last_read_offset_,
                        holder_ == self_ ? fencing_ : 0, false});
  }

  void OnAppended(std::uint64_t, Time) override { append_in_flight_ = false; }

  void OnAppendLost(Time) override { append_in_flight_ = false; }

  void OnAppendFailed(Time) override { append_in_flight_ = false; }

  std::optional<std::string> Resign() override {
    const bool held = synchronized_ && holder_ == self_;
    has_resigned_ = true;
    own_term_end_ = Time::min();
    unconfirmed_appends_.clear();
    if (!held) {
      return std::nullopt;
    }
    return EncodeLease({name_, self_, ++last_record_number_, last_read_offset_,
                        fencing_, true});
  }

  void OnRecord(std::uint64_t offset, const std::string& payload,
                Time now) override {
    if (offset <= last_read_offset_) {
      return;
    }
    if (offset != last_read_offset_ + 1) {
      synchronized_ = false;
      contiguous_from_ = offset;
      // A missed record may have started a term just before this one.
      claim_allowed_at_ = now + options_.ttl + claim_jitter_;
    }
    last_read_offset_ = offset;
    try {
      const LeaseRecord record = DecodeLease(payload);
      if (record.lease == name_) {
        ApplyRecord(offset, record, now);
        last_lease_offset_ = offset;
      }
    } catch (const Error&) {
      // Every member rejects a malformed record.
    }
  }

  bool Holds(Time now) const override {
    return synchronized_ && holder_ == self_ && now < own_term_end_;
  }

  std::uint64_t Fencing() const override { return fencing_; }

  bool FormerOrdersMayBeInFlight(Time now) const override {
    return now < former_orders_end_;
  }

  std::string Holder() const override { return holder_; }

 private:
  bool MayClaim(Time now) const {
    const bool renews = synchronized_ && holder_ == self_;
    return !has_resigned_ && (renews || now >= claim_allowed_at_);
  }

  // Whether every member considers the record valid: its writer had read all
  // earlier records of this lease, including those that this member missed.
  bool IsValidForAllMembers(const LeaseRecord& record) const {
    return record.last_read_offset + 1 >= contiguous_from_ &&
           record.last_read_offset >= last_lease_offset_;
  }

  void ApplyRecord(std::uint64_t offset, const LeaseRecord& record, Time now) {
    const std::map<std::uint64_t, Time>::iterator it =
        record.holder == self_ ? unconfirmed_appends_.find(record.number)
                               : unconfirmed_appends_.end();
    const std::optional<Time> sent = it == unconfirmed_appends_.end()
                                         ? std::nullopt
                                         : std::optional<Time>(it->second);
    if (sent) {
      unconfirmed_appends_.erase(it);
    }
    // Void records delay a claim too, since a member that isn't synchronized
    // may wrongly consider them void.
    if (record.holder != self_) {
      claim_allowed_at_ = now + options_.ttl + claim_jitter_;
    }
    if (last_valid_offset_ > record.last_read_offset) {
      return;
    }
    const bool synchronizes = !synchronized_ && IsValidForAllMembers(record);
    synchronized_ = synchronized_ || synchronizes;
    if (record.is_resignation) {
      ApplyResignation(offset, record, now);
    } else {
      ApplyTerm(offset, record, synchronizes, sent, now);
    }
  }

  void ApplyResignation(std::uint64_t offset, const LeaseRecord& record,
                        Time now) {
    last_valid_offset_ = offset;
    if (synchronized_ && record.holder == holder_) {
      claim_allowed_at_ = now + claim_jitter_ / kClaimJitterDivisor;
    }
    holder_.clear();
    fencing_ = 0;
  }

  void ApplyTerm(std::uint64_t offset, const LeaseRecord& record,
                 bool synchronizes, const std::optional<Time>& sent, Time now) {
    last_valid_offset_ = offset;
    if (record.holder != holder_ || synchronizes) {
      holder_ = record.holder;
      fencing_ = record.fencing != 0 ? record.fencing : offset;
      own_term_end_ = Time::min();
      former_orders_end_ = sent.value_or(now) + options_.longest_order;
    }
    if (sent) {
      own_term_end_ =
          std::max(own_term_end_, *sent + options_.ttl - options_.margin);
    }
  }

  const std::string name_;
  const std::string self_;
  const LeaseOptions options_;
  Duration claim_jitter_;
  std::map<std::uint64_t, Time>
      unconfirmed_appends_;  // own records not read back yet, by number
  std::uint64_t last_record_number_ = 0;
  std::uint64_t last_read_offset_ = 0;
  std::uint64_t contiguous_from_ = 1;    // no gap at or after it
  std::uint64_t last_lease_offset_ = 0;  // valid or not
  std::uint64_t last_valid_offset_ = 0;
  bool synchronized_ = true;  // judges records as all members do
  std::string holder_;
  std::uint64_t fencing_ = 0;
  Time own_term_end_ = Time::min();
  Time claim_allowed_at_ = Time::min();
  Time former_orders_end_ = Time::min();
  Time next_renewal_ = Time::min();
  bool append_in_flight_ = false;
  bool has_resigned_ = false;
};

}  // namespace

std::unique_ptr<Lease> Lease::Make(const std::string& name,
                                   const std::string& holder,
                                   const LeaseOptions& options) {
  return std::make_unique<LeaseImpl>(name, holder, options);
}

}  // namespace hornbeamcleat
