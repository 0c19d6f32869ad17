#ifndef HORNBEAMCLEAT_TESTS_PLATFORM_FAKE_STORE_H_
#define HORNBEAMCLEAT_TESTS_PLATFORM_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "hornbeamcleat/base/settings.h"
#include "platform/records.h"
#include "src/relay/listener.h"

namespace hornbeamcleat::platform {

/// Fake of the platform's store: keyed topics with long-polling reads. The test
/// injects faults.
class FakeStore {
 public:
  enum class Fault {
    kNone,
    kBusy,                 ///< rejects every request with 503
    kSilent,               ///< never responds
    kDropsWriteResponses,  ///< applies a write, then closes the connection
  };

  FakeStore(PollLoop* loop, const Clock* clock);
  ~FakeStore();

  Address Bound() const { return listener_->Bound(); }

  /// Appends a record; an empty value removes the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

  void SetFault(Fault fault) { fault_ = fault; }

  /// Limits the records of a page of newest records.
  void SetPageSize(std::size_t size) { page_size_ = size; }
  /// Rejects the first read of each page of newest records.
  void RejectEachPageOnce() { rejects_each_page_once_ = true; }
  int PageReads() const { return page_reads_; }

  /// Remembers the current records, for Restore.
  void Copy() { copy_ = topics_; }
  /// Comes back with the records of the last copy; offsets are given out again.
  /// Open reads end without a response.
  void Restore();

  /// Drops all records but the newest of each key.
  void Compact();

  /// Newest value of a key, or "".
  std::string Newest(const std::string& topic, const std::string& key) const;

  /// Number of records appended to a topic so far.
  std::uint64_t Records(const std::string& topic) {
    return topics_[topic].End();
  }

  int Calls() const { return calls_; }

  /// Sets whether responses state an era.
  void SetStatesEra(bool states_era) { states_era_ = states_era; }

 private:
  struct Topic {
    std::vector<KeyedRecord> records;  ///< from offset `first` on
    std::uint64_t first = 0;
    std::map<std::string, std::string> newest;
    std::uint64_t End() const { return first + records.size(); }
  };
  class PendingRead;

  std::unique_ptr<RequestHandler> Handle(const CallerRequest& request,
                                         ResponseSink* sink);
  std::unique_ptr<RequestHandler> Read(const std::string& topic,
                                       std::uint64_t from, Duration wait,
                                       ResponseSink* sink);
  void Append(const std::string& topic, const std::string& body);
  std::string Page(const Topic& topic, const std::string& after) const;
  void Respond(ResponseSink* sink, int status, const std::string& body) const;
  static std::string Batch(const Topic& topic, std::uint64_t from);

  PollLoop* const loop_;
  const Clock* const clock_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> copy_;
  int era_ = 1;  ///< rises with each Restore
  bool states_era_ = true;
  std::list<PendingRead*> pending_reads_;
  Fault fault_ = Fault::kNone;
  int calls_ = 0;
  std::size_t page_size_ = 500;
  bool rejects_each_page_once_ = false;
  std::set<std::string> rejected_pages_;
  int page_reads_ = 0;
  std::unique_ptr<Listener> listener_;
};

}  // namespace hornbeamcleat::platform

#endif  // HORNBEAMCLEAT_TESTS_PLATFORM_FAKE_STORE_H_
