#ifndef HORNBEAMCLEAT_REVIEW_TESTBED_3_H_
#define HORNBEAMCLEAT_REVIEW_TESTBED_3_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins of the platform's store, of replicas and of clients, and a runner
/// of the daemon, for the scripts of the third review. All speak HTTP/1.1 on
/// loopback addresses. One thread serves each connection.
namespace review3 {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Seconds on the steady clock since the start of the process.
double Now();
void SleepUntil(double at);

/// Value of a header, or "". Names are compared without regard to case.
std::string Find(const Headers& headers, std::string_view name);

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

struct Response {
  int status = 0;  ///< 0: the connection ends without a response
  Headers headers;
  std::string body;
  /// Of a server's stream, sent in chunks; `body` is left out then.
  int events = 0;
  int first_event_ms = 0;
  int pause_ms = 0;                   ///< between two events
  std::function<void()> on_end = {};  ///< called when the stream has ended
};

/// Line-buffered, thread-safe record of what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path);
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  /// Listens on a free port of 127.0.0.1.
  explicit Server(Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::string Address() const { return address_; }

 private:
  void Accept();
  void Serve(int fd);
  bool SendStream(int fd, const Response& response) const;

  const Handler handler_;
  int listen_fd_ = -1;
  std::string address_;
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::condition_variable closed_;
  std::vector<int> open_;  ///< one for each thread of a connection
  std::thread acceptor_;
};

/// Platform's store in its form as a log, with one partition for each topic.
class Store {
 public:
  Store();
  ~Store();

  std::string Address() const { return server_->Address(); }

  /// Appends a record; returns the time of the acknowledgement.
  double Put(const std::string& topic, const std::string& key,
             const std::string& value);
  /// Newest value of a key, or "".
  std::string Newest(const std::string& topic, const std::string& key);

  /// Keeps a copy of all topics, from which Restore() comes back.
  void Copy();
  /// The store is away: calls get 503, waiting reads end so, too.
  void GoAway();
  /// The store comes back from its copy, in the next era.
  void Restore();

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  using Topics = std::map<std::string, std::vector<Entry>>;

  Response Handle(const Request& request);
  Response Append(const std::map<std::string, std::string>& query,
                  const std::string& body);
  Response Read(const std::map<std::string, std::string>& query);
  Response ReadNewest(const std::map<std::string, std::string>& query);
  Response Unavailable() const;

  std::mutex mutex_;
  std::condition_variable changed_;
  Topics topics_;
  Topics copy_;
  int era_ = 1;
  bool is_away_ = false;
  bool is_stopping_ = false;
  std::unique_ptr<Server> server_;
};

/// How a replica answers a request.
struct Answer {
  int status = 200;
  int pause_ms = 0;  ///< between the events of a stream; 0: as usual
};

/// Replica that registers itself in the store and runs requests one after the
/// other on each connection.
class Replica {
 public:
  struct Spec {
    std::string id;
    std::string service;
    std::string version = "v1";
    int slots = 6;
    int work_ms = 30;
    /// Called as a request begins to run.
    std::function<Answer(const Request& request, int running)> on_run;
    /// Answers with a stream of so many events, or without one.
    int events = 0;
    int pause_ms = 0;
  };

  Replica(Store* store, Spec spec);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  const std::string& Id() const { return spec_.id; }
  /// Removes the entry, as a replica that has left.
  void Leave();

 private:
  Response Handle(const Request& request);
  void Beat();
  void Announce();

  Store* const store_;
  const Spec spec_;
  const std::int64_t born_;
  std::atomic<int> running_{0};
  std::atomic<int> seq_{0};
  std::mutex mutex_;
  std::condition_variable stop_;
  bool is_stopping_ = false;
  bool has_left_ = false;
  std::unique_ptr<Server> server_;
  std::thread beat_;
};

/// Daemon of the deploy file as a process of its own, with settings like those
/// that the platform renders from the template.
class Daemon {
 public:
  Daemon(const std::string& folder, const std::string& name,
         const std::string& store);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  /// Sends a signal, such as SIGTERM, and waits until the process has ended.
  void Stop(int signal);
  bool IsRunning();

  const std::string& Name() const { return name_; }
  const std::string& Front() const { return front_; }
  const std::string& Ready() const { return ready_; }
  const std::string& Directory() const { return directory_; }

 private:
  const std::string name_;
  const std::string settings_;
  const std::string log_;
  std::string front_;
  std::string ready_;
  std::string directory_;
  pid_t pid_ = -1;
};

/// Client's connection to a daemon.
class Connection {
 public:
  /// Connects, within a second at most.
  explicit Connection(const std::string& address);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const Request& request);
  /// Reads a response; status 0 if it isn't complete in time. A client of
  /// streams also leaves if nothing comes for `gap_s`; 0: it waits.
  Response Receive(double timeout_s, double gap_s = 0);

 private:
  int fd_ = -1;
};

/// Sends a request on a new connection; status 0 if no response comes in time.
Response Call(const std::string& address, const Request& request,
              double timeout_s, double gap_s = 0);

/// Whether the daemon's readiness address answers 200 before `until`.
bool AwaitReady(const Daemon& daemon, double until);

/// Addresses that the daemon's directory answers.
std::vector<std::string> Resolve(const Daemon& daemon);

/// New folder under the system's folder of temporary files.
std::string MakeFolder();

/// Whether the disruption of a case is wanted: not with TROUBLE=0.
bool WantsTrouble();

}  // namespace review3

#endif  // HORNBEAMCLEAT_REVIEW_TESTBED_3_H_
