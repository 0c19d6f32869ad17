#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <future>

#include "tests/entry/entry_fixture.h"
#include "tests/entry/entry_process.h"

namespace hornbeamcleat {
namespace {

class DaemonTest : public EntryFixture {
 protected:
  /// Runs the program with `arguments` and returns its exit code.
  static int Run(const std::string& arguments) {
    const std::string command = std::string(HORNBEAMCLEAT_BINARY_DIR) +
                                "/hornbeamcleat-entry " + arguments +
                                " >/dev/null 2>&1";
    const int status = std::system(command.c_str());
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  /// Runs --check-settings on `text` and returns the exit code.
  static int Check(const std::string& text) {
    const std::string file = testing::TempDir() + "entry-check.ini";
    std::ofstream(file) << text;
    return Run("--check-settings --settings " + file);
  }

  static constexpr char kSettings[] =
      "[entry]\nname = e\nfailure_domain = d\nlisten = 127.0.0.1:1\n"
      "listen_admin = 127.0.0.1:2\ncontrol = 127.0.0.1:3\n"
      "[keys]\nhandle_key = sixteen-letters-0\n";
};

TEST_F(DaemonTest, CheckSettingsInvalidOnesExitTwo) {
  const std::string good = kSettings;
  EXPECT_EQ(Check(good), 0);
  EXPECT_EQ(Check(good + "unknown = 1\n"), 2);
  EXPECT_EQ(Check(good + "handle_life = 5\n"), 2);
  EXPECT_EQ(Check("[entry]\nname = e\n"), 2);
  EXPECT_EQ(Run("--no-such-option"), 2);
  EXPECT_EQ(Run("--help"), 0);
}

TEST_F(DaemonTest, CheckSettingsShortKeyExitsTwo) {
  std::string text = kSettings;
  text.replace(text.find("sixteen-letters-0"), 17, "short");
  EXPECT_EQ(Check(text), 2);
}

TEST_F(DaemonTest, TerminateWithAnswerInFlightCutsNothing) {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  AddTarget([released](const TargetCall&, SocketPeer& peer) {
    peer.Send(std::string(kStreamHead) + Parts(1, 1));
    released.wait_for(kTestPatience);
    peer.Send(Parts(2, 2) + std::string(kStreamEnd));
  });
  StartControl(IntentResult::kWon);
  EntryProcess entry(control_->Listening());
  SocketPeer peer = SocketPeer::Connect(entry.Listening());
  peer.Send(SubmitText("chat"));
  EXPECT_EQ(ReadHead(&peer).Status(), 200);
  EXPECT_EQ(ReadChunk(&peer), Parts(1, 1));
  entry.Terminate();
  EXPECT_TRUE(control_->WaitForReport(
      [](const ReportMessage& report) { return report.draining; }));
  release.set_value();
  EXPECT_EQ(Parts(1, 1) + ReadChunks(&peer), WholeAnswer(2));
  EXPECT_EQ(entry.WaitForExit(), 0);
}

}  // namespace
}  // namespace hornbeamcleat
