#ifndef HORNBEAMCLEAT_TESTS_ENTRY_ENTRY_FIXTURE_H_
#define HORNBEAMCLEAT_TESTS_ENTRY_ENTRY_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "hornbeamcleat/base/metrics.h"
#include "hornbeamcleat/schedule/scheduler.h"
#include "src/entry/entry_options.h"
#include "src/entry/entry_part.h"
#include "tests/entry/fake_control.h"
#include "tests/entry/fake_target.h"
#include "tests/entry/http_peer.h"

namespace hornbeamcleat {

/// Default options of an entry in tests.
inline EntryOptions TestOptions() {
  EntryOptions options;
  options.name = "entry-1";
  options.failure_domain = "domain-a";
  options.listen = AnyPort();
  options.listen_admin = AnyPort();
  options.handle_key = "a key that only tests use";
  options.handle_life = std::chrono::hours(1);
  options.max_body = 64 * 1024;
  options.max_answer = 64 * 1024;
  options.max_open = 64;
  options.max_buffered = 64 * 1024;
  options.max_part = 16 * 1024;
  options.connect_timeout = std::chrono::seconds(5);
  options.load_period = std::chrono::milliseconds(200);
  options.cache_period = std::chrono::milliseconds(200);
  options.propose_timeout = std::chrono::seconds(3);
  options.caller_grace = std::chrono::milliseconds(0);
  options.addresses_life = std::chrono::seconds(5);
  options.scheduler.max_attempts = 2;
  options.scheduler.stall_time = std::chrono::seconds(10);
  return options;
}

/// An entry on real sockets, with scripted targets and a fake control daemon.
class EntryFixture : public testing::Test {
 protected:
  /// Adds a target of model "m" whose answers are given by `script`.
  FakeTarget* AddTarget(FakeTarget::Script script) {
    targets_.push_back(std::make_unique<FakeTarget>(std::move(script)));
    AddTargetAt(targets_.back()->Listening().ToString());
    return targets_.back().get();
  }

  void AddTargetAt(const std::string& address) {
    TargetSpec spec;
    spec.address = address;
    spec.model = "m";
    spec.version = "v1";
    spec.hardware = "h1";
    spec.failure_domain = "domain-a";
    Put("t" + std::to_string(++target_count_), spec);
  }

  /// Starts the control daemon and the entry; targets must be added before.
  void StartEntry(std::optional<IntentResult> intents = IntentResult::kWon) {
    StartControl(intents);
    StartEntryAlone();
    WaitUntilReady();
  }

  void StartControl(std::optional<IntentResult> intents) {
    TierSpec tier;
    Put("gold", tier);
    WorkspaceSpec workspace;
    workspace.tier = "gold";
    workspace.applications = {{"chat", "m", true}, {"pay", "m", false}};
    Put("w", workspace);
    VersionSpec version;
    version.model = "m";
    Put("v1", version);
    config_->revision = 1;
    ViewMessage view;
    view.view.config = config_;
    view.entries = {{"entry-1", "http://127.0.0.1:1", "domain-a", 0},
                    {"entry-2", "http://127.0.0.1:2", "domain-a", 0}};
    view.log_available = true;
    control_ = std::make_unique<FakeControl>(view, intents);
    options_.control = control_->Listening();
  }

  void StartEntryAlone() {
    entry_ = EntryPart::Make(
        options_, [this] { return Scheduler::Make(options_.scheduler); },
        metrics_.get());
    entry_->Start(Time());
  }

  void WaitUntilReady() {
    const std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + kTestPatience;
    while (AdminStatus("/readyz") != 200 &&
           std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    ASSERT_EQ(AdminStatus("/readyz"), 200);
  }

  /// Waits until the exposed metrics contain `line`.
  bool WaitForMetric(const std::string& line) {
    const std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + kTestPatience;
    while (std::chrono::steady_clock::now() < end) {
      if (metrics_->Expose().find(line) != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  int AdminStatus(const std::string& path) {
    SocketPeer peer = SocketPeer::Connect(entry_->AdminListening());
    peer.Send("GET " + path + " HTTP/1.1\r\nHost: t\r\n\r\n");
    return ReadHead(&peer).Status();
  }

  SocketPeer Connect() { return SocketPeer::Connect(entry_->Listening()); }

  /// Text of an HTTP request to `application`.
  static std::string SubmitText(const std::string& application,
                                const std::string& headers = "",
                                const std::string& body = "{}") {
    return "POST /v1/completions HTTP/1.1\r\nHost: t\r\nWorkspace: w\r\n"
           "Application: " +
           application + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  /// Submits a request and reads the head of the answer.
  std::pair<SocketPeer, HttpHead> Submit(
      const std::string& application = "chat", const std::string& headers = "",
      const std::string& body = "{}") {
    SocketPeer peer = Connect();
    peer.Send(SubmitText(application, headers, body));
    HttpHead head = ReadHead(&peer);
    return {std::move(peer), std::move(head)};
  }

  std::pair<SocketPeer, HttpHead> ResumeWith(const HttpHead& given,
                                             const std::string& last) {
    SocketPeer peer = Connect();
    peer.Send(
        "GET /v1/answers/" + given.Get("request-id") +
        " HTTP/1.1\r\nHost: t\r\nResume-Handle: " + given.Get("resume-handle") +
        "\r\nLast-Event-ID: " + last + "\r\n\r\n");
    HttpHead head = ReadHead(&peer);
    return {std::move(peer), std::move(head)};
  }

  template <typename Spec>
  void Put(const std::string& name, const Spec& spec) {
    Resource resource;
    resource.name = name;
    resource.version = 1;
    resource.spec = spec;
    config_->resources[{KindName(resource.spec), name}] = resource;
  }

  EntryOptions options_ = TestOptions();
  std::shared_ptr<ConfigState> config_ = std::make_shared<ConfigState>();
  std::unique_ptr<Metrics> metrics_ = Metrics::Make();
  int target_count_ = 0;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::unique_ptr<FakeControl> control_;
  std::unique_ptr<EntryPart> entry_;
};

/// Complete streamed answer of `n` parts, as sent to a caller.
inline std::string WholeAnswer(int n) {
  return Parts(1, n) + "event: end\ndata: {\"parts\":" + std::to_string(n) +
         "}\n\n";
}

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_TESTS_ENTRY_ENTRY_FIXTURE_H_
