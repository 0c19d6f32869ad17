#include "src/ctl/commands.h"

#include <unistd.h>

#include <fstream>
#include <map>
#include <sstream>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/config/resource_json.h"
#include "tests/standin/standin_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr char kTier[] =
    R"({"kind":"Tier","metadata":{"name":"gold"},"spec":{"rank":0}})";

// Keeps resources by path; each change raises the version.
class FakeApi : public Standin {
 protected:
  void Handle(const CallerRequest& request) override {
    if (HeaderValue(request, "authorization") != "Bearer secret") {
      return AnswerJson(request.handle, 401, "{}");
    }
    if (request.method == "PUT") {
      return Put(request);
    }
    const std::map<std::string, Resource>::iterator it =
        resources_.find(request.path);
    if (it == resources_.end()) {
      return AnswerJson(request.handle, 404, "{}");
    }
    if (request.method == "DELETE") {
      resources_.erase(it);
      return AnswerJson(request.handle, 200, "{}");
    }
    AnswerJson(request.handle, 200, FormatResource(it->second));
  }

 private:
  void Put(const CallerRequest& request) {
    Resource resource = ParseResource(request.body);
    Resource& current = resources_[request.path];
    if (current.version != resource.version) {
      return AnswerJson(request.handle, 409, "{}");
    }
    resource.version = ++revision_;
    current = resource;
    AnswerJson(request.handle, 200, "{}");
  }

  std::map<std::string, Resource> resources_;
  std::uint64_t revision_ = 0;
};

class CommandsTest : public testing::Test {
 protected:
  CommandsTest()
      : path_(testing::TempDir() + "commands_test_" + std::to_string(getpid()) +
              ".json") {
    control_.address = server_.Where();
    control_.token = "secret";
    control_.timeout = std::chrono::seconds(20);
    options_.files = {path_};
    Write(kTier);
  }

  ~CommandsTest() override { unlink(path_.c_str()); }

  void Write(const std::string& text) const { std::ofstream(path_) << text; }

  ExitCode RunWords(const std::vector<std::string>& words) {
    out_.str("");
    return RunCommand(ControlClient(control_), options_, words, out_);
  }

  StandinServer server_{std::make_unique<FakeApi>()};
  std::string path_;
  ControlServer control_;
  CommandOptions options_;
  std::ostringstream out_;
};

TEST_F(CommandsTest, ApplyTwiceChangesNothingTheSecondTime) {
  EXPECT_EQ(RunWords({"apply"}), ExitCode::kOk);
  EXPECT_EQ(out_.str(), "Tier/gold applied\n");
  EXPECT_EQ(RunWords({"apply"}), ExitCode::kOk);
  EXPECT_EQ(out_.str(), "Tier/gold unchanged\n");
}

TEST_F(CommandsTest, ApplyChangedSpecReplacesCurrentVersion) {
  RunWords({"apply"});
  Write(R"({"kind":"Tier","metadata":{"name":"gold"},"spec":{"rank":1}})");
  EXPECT_EQ(RunWords({"apply"}), ExitCode::kOk);
  RunWords({"get", "tiers", "gold"});
  EXPECT_NE(out_.str().find("rank=1"), std::string::npos);
}

TEST_F(CommandsTest, ApplyStaleVersionIsConflict) {
  RunWords({"apply"});
  Write(R"({"kind":"Tier","metadata":{"name":"gold","resourceVersion":9},)"
        R"("spec":{"rank":1}})");
  EXPECT_EQ(RunWords({"apply"}), ExitCode::kConflict);
}

TEST_F(CommandsTest, DeleteMissingResourceIsNotFound) {
  EXPECT_EQ(RunWords({"delete", "tier", "gold"}), ExitCode::kNotFound);
  RunWords({"apply"});
  EXPECT_EQ(RunWords({"delete", "tier", "gold"}), ExitCode::kOk);
  EXPECT_EQ(RunWords({"get", "tier", "gold"}), ExitCode::kNotFound);
}

TEST_F(CommandsTest, TokenWrongIsDenied) {
  control_.token = "other";
  EXPECT_EQ(RunWords({"get", "tier", "gold"}), ExitCode::kDenied);
}

TEST_F(CommandsTest, FileInvalidIsRefusedBeforeAnyCall) {
  Write(R"([{"kind":"Tier","metadata":{"name":"gold"},"spec":{"rank":0}},)"
        R"({"kind":"Tier","metadata":{"name":"bad"},"spec":{"rank":-1}}])");
  EXPECT_THROW(RunWords({"validate"}), Error);
  EXPECT_THROW(RunWords({"apply"}), Error);
  EXPECT_EQ(RunWords({"get", "tier", "gold"}), ExitCode::kNotFound);
}

TEST_F(CommandsTest, CommandOrKindUnknownIsUsage) {
  EXPECT_THROW(RunWords({"paint"}), Error);
  EXPECT_THROW(RunWords({"get", "boat"}), Error);
  EXPECT_THROW(RunWords({}), Error);
  EXPECT_EQ(CanonicalKind("Workspaces"), "Workspace");
}

}  // namespace
}  // namespace hornbeamcleat
