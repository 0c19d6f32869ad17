#ifndef HORNBEAMCLEAT_TESTS_PLATFORM_FAKE_STORE_H_
#define HORNBEAMCLEAT_TESTS_PLATFORM_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "platform/records.h"
#include "src/relay/listener.h"

namespace hornbeamcleat::platform {

/// Small stand-in of the platform's store: keyed topics with reads that wait.
/// Faults are set by the test.
class FakeStore {
 public:
  enum class Fault {
    kNone,
    kBusy,          ///< answers 503 and does nothing
    kSilent,         ///< never answers
    kDropsWriteResponses,  ///< does what is written and breaks the connection
                           ///< off
  };

  FakeStore(PollLoop* loop, const Clock* clock);
  ~FakeStore();

  Address Bound() const { return listener_->Bound(); }

  /// Writes a record; an empty value removes the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

  void SetFault(Fault fault) { fault_ = fault; }

  /// Drops the history; only the newest record of each key stays.
  void Compact();

  /// Newest value of a key, or "".
  std::string Newest(const std::string& topic, const std::string& key) const;

  /// Records that a topic has taken so far.
  std::uint64_t Records(const std::string& topic) {
    return topics_[topic].End();
  }

  int Calls() const { return calls_; }

 private:
  struct Topic {
    std::vector<KeyedRecord> records;  ///< from `first` on
    std::uint64_t first = 0;
    std::map<std::string, std::string> newest;
    std::uint64_t End() const { return first + records.size(); }
  };
  class WaitingRead;

  std::unique_ptr<RequestHandler> Handle(const CallerRequest& request,
                                         AnswerSink* sink);
  std::unique_ptr<RequestHandler> Read(const std::string& topic,
                                       std::uint64_t from, Duration wait,
                                       AnswerSink* sink);
  void Append(const std::string& topic, const std::string& body);
  std::string Page(const Topic& topic) const;
  static std::string Batch(const Topic& topic, std::uint64_t from);

  PollLoop* const loop_;
  const Clock* const clock_;
  std::map<std::string, Topic> topics_;
  std::list<WaitingRead*> waiting_;
  Fault fault_ = Fault::kNone;
  int calls_ = 0;
  std::unique_ptr<Listener> listener_;
};

}  // namespace hornbeamcleat::platform

#endif  // HORNBEAMCLEAT_TESTS_PLATFORM_FAKE_STORE_H_
