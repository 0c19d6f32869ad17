#ifndef HORNBEAMCLEAT_SRC_STANDIN_WEIGHT_FETCHER_H_
#define HORNBEAMCLEAT_SRC_STANDIN_WEIGHT_FETCHER_H_

#include <atomic>
#include <string>
#include <thread>

#include "hornbeamcleat/base/settings.h"

namespace hornbeamcleat {

/// Downloads the weights of one version on its own thread, retrying until the
/// download succeeds or the fetcher is destroyed.
class WeightFetcher {
 public:
  WeightFetcher(const Address& store, const std::string& name);
  ~WeightFetcher();

  WeightFetcher(const WeightFetcher&) = delete;
  WeightFetcher& operator=(const WeightFetcher&) = delete;

  /// Whether the download is complete.
  bool Done() const { return done_; }

 private:
  void Run(const Address& store, const std::string& name);

  std::atomic<bool> done_ = false;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_STANDIN_WEIGHT_FETCHER_H_
