#include "hornbeamcleat/agree/lease.h"

#include <algorithm>
#include <map>
#include <utility>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/hash.h"
#include "src/agree/lease_record.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxUnread = 64;
constexpr int kSpread = 4;  // claims spread over this fraction of a term

class LeaseImpl : public Lease {
 public:
  LeaseImpl(std::string name, std::string holder, const LeaseOptions& options)
      : name_(std::move(name)), self_(std::move(holder)), options_(options) {
    const std::uint64_t width =
        static_cast<std::uint64_t>(options_.ttl.count() / kSpread) + 1;
    claim_delay_ = Duration(static_cast<Duration::rep>(Hash64(self_) % width));
  }

  std::optional<std::string> Due(Time now) override {
    // Records from before this member began to read may still bind.
    if (free_at_ == Time::min()) {
      free_at_ = now + options_.ttl;
    }
    if (under_way_ || now < next_due_ || !MayClaim(now)) {
      return std::nullopt;
    }
    under_way_ = true;
    next_due_ = now + options_.renew_period;
    sent_[++last_number_] = now;
    if (sent_.size() > kMaxUnread) {
      sent_.erase(sent_.begin());
    }
    return EncodeLease({name_, self_, last_number_, read_to_,
                        holder_ == self_ ? fencing_ : 0, false});
  }

  void OnAppended(std::uint64_t, Time) override { under_way_ = false; }

  void OnAppendLost(Time) override { under_way_ = false; }

  void OnAppendFailed(Time) override { under_way_ = false; }

  std::optional<std::string> Resign() override {
    const bool held = anchored_ && holder_ == self_;
    resigned_ = true;
    term_end_ = Time::min();
    sent_.clear();
    if (!held) {
      return std::nullopt;
    }
    return EncodeLease(
        {name_, self_, ++last_number_, read_to_, fencing_, true});
  }

  void OnRecord(std::uint64_t offset, const std::string& payload,
                Time now) override {
    if (offset <= read_to_) {
      return;
    }
    if (offset != read_to_ + 1) {
      anchored_ = false;
      known_from_ = offset;
      // What was missed may have begun a term just now.
      free_at_ = now + options_.ttl + claim_delay_;
    }
    read_to_ = offset;
    try {
      const LeaseRecord record = DecodeLease(payload);
      if (record.lease == name_) {
        Fold(offset, record, now);
        last_seen_ = offset;
      }
    } catch (const Error&) {
      // Malformed for every member alike.
    }
  }

  bool Holds(Time now) const override {
    return anchored_ && holder_ == self_ && now < term_end_;
  }

  std::uint64_t Fencing() const override { return fencing_; }

  bool MustWait(Time now) const override { return now < wait_end_; }

  std::string Holder() const override { return holder_; }

 private:
  bool MayClaim(Time now) const {
    const bool renews = anchored_ && holder_ == self_;
    return !resigned_ && (renews || now >= free_at_);
  }

  // Whether all members find the record valid: its writer had read all that
  // came before, also what this member did not see.
  bool IsCertain(const LeaseRecord& record) const {
    return record.read_to + 1 >= known_from_ && record.read_to >= last_seen_;
  }

  void Fold(std::uint64_t offset, const LeaseRecord& record, Time now) {
    const std::map<std::uint64_t, Time>::iterator it =
        record.holder == self_ ? sent_.find(record.number) : sent_.end();
    const std::optional<Time> sent =
        it == sent_.end() ? std::nullopt : std::optional<Time>(it->second);
    if (sent) {
      sent_.erase(it);
    }
    // Void records count too, since an unanchored member may judge wrongly.
    if (record.holder != self_) {
      free_at_ = now + options_.ttl + claim_delay_;
    }
    if (last_valid_ > record.read_to) {
      return;
    }
    const bool anchors = !anchored_ && IsCertain(record);
    anchored_ = anchored_ || anchors;
    if (record.resigns) {
      ApplyResignation(offset, record, now);
    } else {
      ApplyTerm(offset, record, anchors, sent, now);
    }
  }

  void ApplyResignation(std::uint64_t offset, const LeaseRecord& record,
                        Time now) {
    last_valid_ = offset;
    if (anchored_ && record.holder == holder_) {
      free_at_ = now + claim_delay_ / kSpread;
    }
    holder_.clear();
    fencing_ = 0;
  }

  void ApplyTerm(std::uint64_t offset, const LeaseRecord& record, bool anchors,
                 const std::optional<Time>& sent, Time now) {
    last_valid_ = offset;
    if (record.holder != holder_ || anchors) {
      holder_ = record.holder;
      fencing_ = record.fencing != 0 ? record.fencing : offset;
      term_end_ = Time::min();
      wait_end_ = sent.value_or(now) + options_.longest_order;
    }
    if (sent) {
      term_end_ = std::max(term_end_, *sent + options_.ttl - options_.margin);
    }
  }

  const std::string name_;
  const std::string self_;
  const LeaseOptions options_;
  Duration claim_delay_;
  std::map<std::uint64_t, Time> sent_;  // own records not read back yet
  std::uint64_t last_number_ = 0;
  std::uint64_t read_to_ = 0;
  std::uint64_t known_from_ = 1;  // first offset read without a gap after it
  std::uint64_t last_seen_ = 0;   // last record of this lease, valid or not
  std::uint64_t last_valid_ = 0;
  bool anchored_ = true;  // whether all members judge the next record alike
  std::string holder_;
  std::uint64_t fencing_ = 0;
  Time term_end_ = Time::min();  // of this member
  Time free_at_ = Time::min();   // when this member may claim
  Time wait_end_ = Time::min();
  Time next_due_ = Time::min();
  bool under_way_ = false;
  bool resigned_ = false;
};

}  // namespace

std::unique_ptr<Lease> Lease::Make(const std::string& name,
                                   const std::string& holder,
                                   const LeaseOptions& options) {
  return std::make_unique<LeaseImpl>(name, holder, options);
}

}  // namespace hornbeamcleat
