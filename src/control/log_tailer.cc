#include "src/control/log_tailer.h"

#include <utility>

#include "hornbeamcleat/base/log.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxRecords = 1'000;
constexpr Duration kReadTimeout = std::chrono::milliseconds(500);
constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);

}  // namespace

LogTailer::LogTailer(std::unique_ptr<LogService> log, std::string stream,
                     std::uint64_t from, Sink sink)
    : log_(std::move(log)),
      stream_(std::move(stream)),
      next_(from),
      sink_(std::move(sink)),
      thread_([this] { Run(); }) {}

LogTailer::~LogTailer() {
  stopping_ = true;
  thread_.join();
}

void LogTailer::Run() {
  const Logger log("log");
  Duration backoff = kMinBackoff;
  bool reachable = true;
  while (!stopping_) {
    try {
      next_ =
          sink_(next_, log_->Read(stream_, next_, kMaxRecords, kReadTimeout));
      if (!reachable) {
        log.Info("Log reads recovered. stream={}", stream_);
      }
      reachable = true;
      backoff = kMinBackoff;
    } catch (const Error& e) {
      if (reachable) {
        log.Warning("Failed to read the log. stream={} cause={}", stream_,
                    e.what());
      }
      reachable = false;
      std::this_thread::sleep_for(backoff);
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
  }
}

}  // namespace hornbeamcleat
