#include "src/relay/peer_link.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <limits>
#include <unordered_map>
#include <utility>

#include "hornbeamcleat/base/clock.h"
#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/timer_service.h"
#include "src/base/codec.h"
#include "src/base/poll_loop.h"
#include "src/base/socket_address.h"
#include "src/net/file_descriptor.h"

namespace hornbeamcleat {

namespace {

/// Resolution of prompt tokens; a finer one would not change decisions.
constexpr std::uint32_t kTokenUnit = 32;
/// Resolution of TargetLoad::backoff_ms; one byte covers five seconds.
constexpr std::uint32_t kBackoffUnitMs = 20;
/// Steps per unit of slowness and of counts in findings; one byte covers values
/// up to 12 and 32.
constexpr float kSlownessUnits = 20;
constexpr float kCountUnits = 8;
/// Resolution of the age of load reports; one byte covers a second.
constexpr std::uint32_t kReportAgeUnitMs = 4;
/// Value of ForwardedLoadReport::others on the wire if it is not known.
constexpr std::uint8_t kUnknownOthers = 255;
/// Resolution of the time left.
constexpr std::int32_t kTimeLeftUnitMs = 4;

// Converts to the narrower type used on the wire, saturating at its limits.
template <typename Short, typename Long>
Short SaturateCast(Long value) {
  return static_cast<Short>(std::clamp<Long>(
      value, static_cast<Long>(std::numeric_limits<Short>::min()),
      static_cast<Long>(std::numeric_limits<Short>::max())));
}

}  // namespace

template <typename Archive>
void save(Archive& ar, const ForwardedLoadReport& report) {
  ar(report.start, SaturateCast<std::uint8_t>(report.age_ms / kReportAgeUnitMs),
     SaturateCast<std::uint8_t>(report.work_time * kSlownessUnits),
     report.others.has_value()
         ? static_cast<std::uint8_t>(
               std::min(*report.others, ForwardedLoadReport::kMaxOthers))
         : kUnknownOthers);
}

template <typename Archive>
void load(Archive& ar, ForwardedLoadReport& report) {
  std::uint8_t age = 0;
  std::uint8_t work_time = 0;
  std::uint8_t others = 0;
  ar(report.start, age, work_time, others);
  if (others != kUnknownOthers) {
    report.others = others;
  }
  report.age_ms = age * kReportAgeUnitMs;
  report.work_time = static_cast<float>(work_time) / kSlownessUnits;
}

template <typename Archive>
void save(Archive& ar, const TargetLoad& use) {
  ar(use.target, SaturateCast<std::uint8_t>(use.running),
     SaturateCast<std::uint16_t>(use.pending_tokens / kTokenUnit),
     SaturateCast<std::uint8_t>(use.backoff_ms / kBackoffUnitMs), use.report);
}

template <typename Archive>
void load(Archive& ar, TargetLoad& use) {
  std::uint8_t running = 0;
  std::uint16_t tokens = 0;
  std::uint8_t backoff = 0;
  ar(use.target, running, tokens, backoff, use.report);
  use.backoff_ms = backoff * kBackoffUnitMs;
  use.running = running;
  use.pending_tokens = tokens * kTokenUnit;
}

template <typename Archive>
void save(Archive& ar, const TargetStats& finding) {
  ar(finding.target,
     SaturateCast<std::uint8_t>(finding.slowness * kSlownessUnits),
     SaturateCast<std::uint8_t>(finding.slowness_samples * kCountUnits),
     SaturateCast<std::uint8_t>(finding.failures * kCountUnits),
     SaturateCast<std::uint8_t>(finding.answers * kCountUnits));
}

template <typename Archive>
void load(Archive& ar, TargetStats& finding) {
  std::uint8_t slowness = 0;
  std::uint8_t samples = 0;
  std::uint8_t failures = 0;
  std::uint8_t answers = 0;
  ar(finding.target, slowness, samples, failures, answers);
  finding.slowness = static_cast<float>(slowness) / kSlownessUnits;
  finding.slowness_samples = static_cast<float>(samples) / kCountUnits;
  finding.failures = static_cast<float>(failures) / kCountUnits;
  finding.answers = static_cast<float>(answers) / kCountUnits;
}

template <typename Archive>
void save(Archive& ar, const WaitingRank& rank) {
  ar(SaturateCast<std::int16_t>(rank.rank),
     SaturateCast<std::int16_t>(rank.route_rank),
     SaturateCast<std::int16_t>(rank.slack_ms / kTimeLeftUnitMs));
}

template <typename Archive>
void load(Archive& ar, WaitingRank& rank) {
  std::int16_t workspace_rank = 0;
  std::int16_t route_rank = 0;
  std::int16_t left = 0;
  ar(workspace_rank, route_rank, left);
  rank.rank = workspace_rank;
  rank.route_rank = route_rank;
  rank.slack_ms = left * kTimeLeftUnitMs;
}

template <typename Archive>
void serialize(Archive& ar, ServiceQueue& queue) {
  ar(queue.service, queue.first);
}

template <typename Archive>
void serialize(Archive& ar, WorkspaceUsage& use) {
  ar(use.workspace, use.admitted, use.level);
}

template <typename Archive>
void serialize(Archive& ar, VersionCounts& counts) {
  ar(counts.service, counts.version, counts.route, counts.is_new, counts.sent,
     counts.longest_seconds, counts.done, counts.faults,
     counts.slowness_log_sum, counts.slowness_log_square_sum, counts.streams,
     counts.pause_log_sum, counts.pause_log_square_sum, counts.rejected,
     counts.rejection_log_ratios);
}

template <typename Archive>
void serialize(Archive& ar, PeerDetails& details) {
  ar(details.front, details.failure_domain, details.findings, details.versions);
}

template <typename Archive>
void serialize(Archive& ar, PeerState& state) {
  ar(state.incarnation, state.sequence, state.link, state.is_ready,
     state.has_load, state.uses, state.queues, state.has_all_quotas,
     state.quotas, state.details, state.losses, state.notices, state.limits,
     state.cold, state.evacuations, state.reads);
}

namespace {

/// Maximum UDP payload over IPv4.
constexpr std::size_t kMaxDatagramBytes = 65'507;
/// Older messages are equally useless.
constexpr Duration kMaxMessageAge = std::chrono::minutes(1);
/// Datagrams read before control returns to the loop.
constexpr int kMaxReadsPerEvent = 64;

class UdpLink : public PeerLink {
 public:
  UdpLink(PollLoop* loop, const Clock* clock, const Address& listen,
          std::function<void(const PeerState&)> on_state)
      : loop_(loop),
        clock_(clock),
        fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
        on_state_(std::move(on_state)) {
    const sockaddr_in address = ToSocketAddress(listen);
    if (fd_.Get() < 0 ||
        bind(fd_.Get(), reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
      throw Error("open link", listen.ToString(), strerror(errno));
    }
    const int enable = 1;
    // Without timestamps, messages count as received when they are read.
    [[maybe_unused]] const int result = setsockopt(
        fd_.Get(), SOL_SOCKET, SO_TIMESTAMPNS, &enable, sizeof(enable));
    loop_->Watch(fd_.Get(), EPOLLIN, [this](std::uint32_t) { OnReadable(); });
  }

  ~UdpLink() override { loop_->Unwatch(fd_.Get()); }

  void Send(const PeerState& state,
            const std::vector<std::string>& links) override {
    const std::string bytes = EncodeBytes(state);
    for (const std::string& link : links) {
      const sockaddr_in& to = Resolve(link);
      if (sendto(fd_.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr*>(&to), sizeof(to)) < 0) {
        ++error_count_;
      }
    }
  }

  void SetReadInterval(Duration interval) override {
    read_interval_ = interval;
  }

  int ErrorCount() const override { return error_count_; }

  Duration MessageAge() const override { return message_age_; }

 private:
  void OnReadable() {
    Receive();
    if (read_interval_ > Duration(0)) {
      loop_->Change(fd_.Get(), 0);
      ReadLater();
    }
  }

  void ReadLater() {
    read_timer_ = loop_->Timers()->At(clock_->Now() + read_interval_,
                                      [this](Time) { OnReadTimer(); });
  }

  // Watches the descriptor again once no more datagrams arrive.
  void OnReadTimer() {
    if (Receive() > 0) {
      ReadLater();
    } else {
      read_timer_.reset();
      loop_->Change(fd_.Get(), EPOLLIN);
    }
  }

  // Messages are sent to one address, and callers are told the other.
  static void CheckAddresses(const PeerState& state) {
    ToSocketAddress(Address::Parse(state.link));
    if (state.details.has_value()) {
      ToSocketAddress(Address::Parse(state.details->front));
    }
  }

  const sockaddr_in& Resolve(const std::string& link) {
    const auto known = resolved_.find(link);
    if (known != resolved_.end()) {
      return known->second;
    }
    return resolved_[link] = ToSocketAddress(Address::Parse(link));
  }

  // Reads a datagram into `buffer_`, and how long ago it arrived.
  ssize_t ReadDatagram() {
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control{};
    iovec data{buffer_.data(), buffer_.size()};
    msghdr message{};
    message.msg_iov = &data;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    const ssize_t n = recvmsg(fd_.Get(), &message, 0);
    message_age_ = n < 0 ? Duration(0) : AgeOf(&message);
    return n;
  }

  // The kernel states the time of the arrival on the wall clock, which may have
  // been set since.
  static Duration AgeOf(msghdr* message) {
    const cmsghdr* header = CMSG_FIRSTHDR(message);
    if (header == nullptr || header->cmsg_level != SOL_SOCKET ||
        header->cmsg_type != SCM_TIMESTAMPNS) {
      return Duration(0);
    }
    timespec arrival{};
    std::memcpy(&arrival, CMSG_DATA(header), sizeof(arrival));
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    const Duration age =
        std::chrono::seconds(now.tv_sec - arrival.tv_sec) +
        std::chrono::duration_cast<Duration>(
            std::chrono::nanoseconds(now.tv_nsec - arrival.tv_nsec));
    return std::clamp(age, Duration(0), kMaxMessageAge);
  }

  // Returns the number of datagrams read.
  int Receive() {
    for (int i = 0; i < kMaxReadsPerEvent; ++i) {
      const ssize_t n = ReadDatagram();
      if (n < 0) {
        return i;
      }
      PeerState state;
      try {
        state = DecodeBytes<PeerState>(
            std::string_view(buffer_.data(), static_cast<std::size_t>(n)));
        CheckAddresses(state);
      } catch (const Error&) {
        ++error_count_;
        continue;
      }
      on_state_(state);
    }
    return kMaxReadsPerEvent;
  }

  PollLoop* const loop_;
  const Clock* const clock_;
  const FileDescriptor fd_;
  const std::function<void(const PeerState&)> on_state_;
  std::string buffer_ = std::string(kMaxDatagramBytes, '\0');
  std::unordered_map<std::string, sockaddr_in> resolved_;
  int error_count_ = 0;
  Duration message_age_{0};
  Duration read_interval_{0};
  std::unique_ptr<TimerService::Subscription> read_timer_;
};

}  // namespace

std::unique_ptr<PeerLink> PeerLink::Open(
    PollLoop* loop, const Clock* clock, const Address& listen,
    std::function<void(const PeerState&)> on_state) {
  return std::make_unique<UdpLink>(loop, clock, listen, std::move(on_state));
}

}  // namespace hornbeamcleat
