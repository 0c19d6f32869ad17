#include <gtest/gtest.h>

#include <atomic>
#include <random>

#include "hornbeamcleat/base/error.h"
#include "tests/entry/entry_fixture.h"

namespace hornbeamcleat {
namespace {

constexpr int kFuzzInputs = 20'000;

class LinkTest : public EntryFixture {};

TEST_F(LinkTest, LinkMalformedFrameIsCountedAndLinkReconnects) {
  std::atomic<int> connections{0};
  const SocketServer control([&](SocketPeer& peer) {
    // The first frame exceeds the size limit; the later ones have no valid
    // message.
    peer.Send(++connections == 1 ? "\xff\xff\xff\xff"
                                 : std::string("\2\0\0\0zz", 6));
    peer.ReadToEnd();
  });
  options_.control = control.Listening();
  StartEntryAlone();
  EXPECT_TRUE(WaitForMetric("link{cause=\"malformed\"} 2"));
  EXPECT_GE(connections, 2);
  EXPECT_EQ(AdminStatus("/healthz"), 200);
}

TEST_F(LinkTest, LinkReportsNameAndIncarnation) {
  StartEntry();
  EXPECT_TRUE(control_->WaitForReport([](const ReportMessage& report) {
    return report.entry == "entry-1" && report.incarnation > 0;
  }));
}

TEST_F(LinkTest, LinkNotRunAfterWonIntentReleasesKey) {
  AddTarget([](const TargetCall&, SocketPeer& peer) {
    peer.Send(PlainAnswer("503 Service Unavailable",
                          "Request-Outcome: not_run\r\n", ""));
  });
  StartEntry();
  EXPECT_EQ(Submit("pay", "Request-Id: r1\r\nIdempotency-Key: k1\r\n")
                .second.Status(),
            503);
  EXPECT_TRUE(control_->WaitForRelease("r1"));
}

TEST_F(LinkTest, TakeLinkRandomBytesNeverAllocatesBeyondInput) {
  std::mt19937 random(20'263);
  ViewMessage view;
  view.view.config = config_;
  view.entries = {{"entry-1", "u", "d", 0}};
  const std::string frame = EncodeLinkFrame(view);
  for (int i = 0; i < kFuzzInputs; ++i) {
    std::string bytes = frame;
    for (unsigned n = 1 + random() % 4; n > 0; --n) {
      bytes[4 + random() % (bytes.size() - 4)] = static_cast<char>(random());
    }
    LinkMessage message;
    try {
      DecodeLinkFrame(&bytes, &message);
    } catch (const Error& e) {
      EXPECT_EQ(e.Step(), "decode link");
    }
  }
}

}  // namespace
}  // namespace hornbeamcleat
