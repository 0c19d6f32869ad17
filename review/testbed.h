#ifndef HORNBEAMCLEAT_REVIEW_TESTBED_H_
#define HORNBEAMCLEAT_REVIEW_TESTBED_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Seconds since the start of the program, on the steady clock.
double Now();
void SleepUntil(double seconds);
void SleepFor(double seconds);

/// Whether the environment variable TROUBLE is not 0.
bool HasTrouble();

/// Unused TCP and UDP port below the range of outgoing connections.
int FreePort();

/// File with one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct Message {
  std::string method;
  std::string target;
  int status = 0;  ///< of a response; 0 if none arrived
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;

  std::string Header(const std::string& name) const;
  /// Value of a parameter of the query, or "".
  std::string Query(const std::string& name) const;
};

/// HTTP/1.1 server on 127.0.0.1 with a thread for each connection.
class Server {
 public:
  /// Returns the bytes of the response; none closes the connection.
  using Handler = std::function<std::string(const Message&)>;

  explicit Server(Handler handler);
  int Port() const { return port_; }
  std::string Address() const;

 private:
  void Serve(int fd) const;

  const Handler handler_;
  int port_ = 0;
};

std::string FormatResponse(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body);

std::string Concat(std::initializer_list<std::string_view> parts);

/// Request with a body of four bytes.
/// @param more further header lines, each with its line end
std::string FormatPost(const std::string& path, const std::string& id,
                       const std::string& key, const std::string& more);

/// Sends a request on a new connection and reads the response.
Message Ask(int port, const std::string& request, double timeout);

/// The platform's store: keyed topics of one partition each.
class Store {
 public:
  Store();

  std::string Address() const { return server_->Address(); }
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  /// Answers 503 to all calls on a topic's partition.
  void SetDown(const std::string& topic, bool is_down);
  void SetAllDown(bool is_down);
  /// Remembers the records, for Restore.
  void Copy();
  /// Comes back with the copied records and the next era.
  void Restore();

 private:
  struct Item {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Item> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
  };

  std::string Handle(const Message& request);
  std::string Newest(const Topic& topic, const std::string& after);
  std::string Read(const std::string& name, std::uint64_t from, double wait,
                   std::unique_lock<std::mutex>* lock);
  std::string Append(Topic* topic, const Message& request);
  std::string Respond(int status, const std::string& body) const;
  static void Apply(Topic* topic, const Item& item);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> copy_;
  std::map<std::string, bool> down_;
  bool all_down_ = false;
  int era_ = 1;
  std::unique_ptr<Server> server_;
};

/// A replica that works on each request for a fixed time.
class Replica {
 public:
  /// Called when the replica begins to work on a request.
  using OnRun = std::function<void(const Message&)>;

  Replica(std::string id, double work, OnRun on_run);
  /// Its entry in the store.
  std::string Entry(const std::string& service, const std::string& zone,
                    int slots) const;
  const std::string& Id() const { return id_; }

 private:
  const std::string id_;
  const double work_;
  const OnRun on_run_;
  std::int64_t born_ms_ = 0;
  std::unique_ptr<Server> server_;
};

/// Process of the deploy file's role.
class Vm {
 public:
  Vm(const std::string& folder, const std::string& name,
     const std::string& zone, const std::string& store);
  ~Vm();
  Vm(const Vm&) = delete;
  Vm& operator=(const Vm&) = delete;

  void Start();
  void Signal(int number) const;
  /// Kills the process and waits for its end.
  void Kill();
  /// Whether the process has ended by itself since the last call; `how` tells
  /// of what.
  bool HasEnded(std::string* how);
  bool IsReady() const;
  int Front() const { return front_; }
  const std::string& Name() const { return name_; }

 private:
  const std::string name_;
  const int front_;
  const int ready_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = -1;
};

/// Waits until all VMs are ready; false after `timeout`.
bool AwaitReady(const std::vector<std::unique_ptr<Vm>>& vms, double timeout);

/// New folder for settings and logs.
std::string MakeFolder();

/// Kills the processes, removes the folder and ends the program, without the
/// destructors of objects that threads still use.
[[noreturn]] void End(int code, std::vector<std::unique_ptr<Vm>>* vms,
                      const std::string& folder);

}  // namespace review

#endif  // HORNBEAMCLEAT_REVIEW_TESTBED_H_
