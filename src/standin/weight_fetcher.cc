#include "src/standin/weight_fetcher.h"

#include <cxxtools/http/client.h>

#include <exception>

#include "hornbeamcleat/base/log.h"

namespace hornbeamcleat {
namespace {

constexpr double kTimeoutMs = 60'000;
constexpr int kRetryTicks = 20;
constexpr std::chrono::milliseconds kRetryTick(50);
constexpr int kOk = 200;

bool Fetch(const Address& store, const std::string& name) {
  try {
    cxxtools::http::Client client(store.ip, store.port);
    client.get("/weights/" + name, cxxtools::Milliseconds(kTimeoutMs));
    return client.header().httpReturnCode() == kOk;
  } catch (const std::exception& e) {
    Logger("weights").Warning("Download failed. name={} cause={}", name,
                              e.what());
    return false;
  }
}

}  // namespace

WeightFetcher::WeightFetcher(const Address& store, const std::string& name)
    : thread_([this, store, name] { Run(store, name); }) {}

WeightFetcher::~WeightFetcher() {
  stop_ = true;
  thread_.join();
}

void WeightFetcher::Run(const Address& store, const std::string& name) {
  while (!stop_) {
    if (Fetch(store, name)) {
      done_ = true;
      return;
    }
    for (int n = 0; n < kRetryTicks && !stop_; ++n) {
      std::this_thread::sleep_for(kRetryTick);
    }
  }
}

}  // namespace hornbeamcleat
