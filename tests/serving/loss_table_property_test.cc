#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "hornbeamcleat/base/hash.h"
#include "src/serving/loss_table.h"

namespace hornbeamcleat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRefusalTime = seconds(30);
constexpr Duration kRunTime = milliseconds(200);

RequestProperty Part(const std::string& id) {
  return {PropertyKind::kPart, id};
}

/// Requests with several parts, of one key and model, none with equal content.
class LossTablePropertyTest : public testing::Test {
 protected:
  std::vector<RequestProperty> Request(const std::vector<std::string>& parts,
                                       const std::string& key = "k",
                                       const std::string& model = "m") {
    std::vector<RequestProperty> properties = {
        {PropertyKind::kContent, std::to_string(++requests_)},
        {PropertyKind::kKey, key},
        {PropertyKind::kModel, model}};
    for (const std::string& part : parts) {
      properties.push_back(Part(part));
    }
    properties.push_back(Part("own" + std::to_string(requests_)));
    return properties;
  }

  /// Loses a target of its own kRunTime after the request was sent.
  void Crash(LossTable* table, const std::vector<RequestProperty>& properties) {
    const Time sent_at = now_;
    now_ += kRunTime;
    table->OnTargetLost(
        TargetRun::Make(properties, "t" + std::to_string(++targets_), sent_at),
        now_);
  }

  /// Loses a target of its own that says nothing; returns the target.
  std::uint32_t Silence(LossTable* table,
                        const std::vector<RequestProperty>& properties) {
    const TargetRun run =
        TargetRun::Make(properties, "t" + std::to_string(++targets_), now_);
    now_ += kRunTime;
    table->OnSilent(run, now_);
    return run.target;
  }

  void Answer(LossTable* table,
              const std::vector<RequestProperty>& properties) {
    table->OnAnswered(TargetRun::Make(properties, "sound", now_), now_, now_);
    now_ += milliseconds(1);
  }

  /// Targets lost until one more request with these properties is refused.
  template <typename Make>
  int CrashesUntilRefused(LossTable* table, Make make) {
    int n = 0;
    while (n < 20 && table->RefusedOf(make()).empty()) {
      Crash(table, make());
      ++n;
    }
    return n;
  }

  bool IsRefused(const std::vector<RequestProperty>& properties) const {
    return !table_.RefusedOf(properties).empty();
  }

  Time now_ = Time(seconds(1'000));
  LossTable table_{{2, kRefusalTime}};
  int requests_ = 0;
  int targets_ = 0;
};

TEST_F(LossTablePropertyTest,
       NewPartIsRefusedAfterTwoLossesAndSoundOnesAreNot) {
  for (int i = 0; i < 10; ++i) {
    Answer(&table_, Request({"first", "doc"}));
  }
  EXPECT_EQ(CrashesUntilRefused(&table_,
                                [&] {
                                  return Request({"first", "bad"});
                                }),
            2);
  EXPECT_FALSE(IsRefused(Request({"first", "doc"})));
  EXPECT_EQ(table_.RefusedCount(), 1);
}

TEST_F(LossTablePropertyTest, FirstPartIsRefusedAndOthersOfTheCallerAreNot) {
  for (int i = 0; i < 10; ++i) {
    Answer(&table_, Request({"first", "doc"}));
  }
  EXPECT_EQ(CrashesUntilRefused(&table_,
                                [&] {
                                  return Request({"bad", "doc"});
                                }),
            2);
  EXPECT_FALSE(IsRefused(Request({"first", "doc"})));
}

// A part that was sound may crash targets after a change at these.
TEST_F(LossTablePropertyTest, PartThatWasAnsweredIsRefusedAfterThreeLosses) {
  for (int i = 0; i < 10; ++i) {
    Answer(&table_, Request({"first", "doc"}));
    Answer(&table_, Request({"first", "other"}));
  }
  int crashes = 0;
  while (!IsRefused(Request({"first", "doc"})) && crashes < 20) {
    Crash(&table_, Request({"first", "doc"}));
    Answer(&table_, Request({"first", "other"}));
    ++crashes;
  }
  EXPECT_EQ(crashes, 3);
  EXPECT_FALSE(IsRefused(Request({"first", "other"})));
}

TEST_F(LossTablePropertyTest, KeyModelSizeOrPairIsRefusedWithinFiveLosses) {
  const RequestProperty large = SizeProperty("prompt", 1 << 20);
  const auto with_size = [&] {
    std::vector<RequestProperty> properties =
        Request({"first", "doc" + std::to_string(requests_)});
    properties.push_back(large);
    return properties;
  };
  const std::vector<std::function<std::vector<RequestProperty>()>> deadly = {
      [&] { return Request({"first"}, "bad key"); },
      [&] { return Request({"first"}, "k", "bad model"); }, with_size,
      [&] {
        return Request({"a", "b"});
      },
      // Sound for other callers and with another model.
      [&] { return Request({"a"}, "b key"); },
      [&] { return Request({"a"}, "k", "b model"); }};
  for (const bool was_answered : {false, true}) {
    for (std::size_t i = 0; i < deadly.size(); ++i) {
      LossTable table({2, kRefusalTime});
      if (was_answered) {
        Answer(&table, deadly[i]());
      }
      int crashes = 0;
      while (table.RefusedOf(deadly[i]()).empty() && crashes < 20) {
        Crash(&table, deadly[i]());
        ++crashes;
        // Everything else is sound, each part of the pair, too.
        for (int n = 0; n < 3; ++n) {
          Answer(&table, Request({"first", "a"}));
          Answer(&table, Request({"b"}));
          Answer(&table, Request({"b"}, "b key"));
          Answer(&table, Request({"b"}, "k", "b model"));
        }
      }
      EXPECT_LE(crashes, 5) << "case " << i << " answered " << was_answered;
      EXPECT_TRUE(table.RefusedOf(Request({"first", "a"})).empty()) << i;
      EXPECT_TRUE(table.RefusedOf(Request({"b"})).empty()) << i;
      EXPECT_TRUE(table.RefusedOf(Request({"b"}, "b key")).empty()) << i;
    }
  }
}

// Any two of the parts are sound.
TEST_F(LossTablePropertyTest, ThreePartsTogetherAreRefusedWithinFiveLosses) {
  int crashes = 0;
  while (!IsRefused(Request({"a", "b", "c"})) && crashes < 20) {
    Crash(&table_, Request({"a", "b", "c"}));
    ++crashes;
    Answer(&table_, Request({"a", "b"}));
    Answer(&table_, Request({"b", "c"}));
    Answer(&table_, Request({"a", "c"}));
  }
  EXPECT_LE(crashes, 5);
  EXPECT_FALSE(IsRefused(Request({"a", "b"})));
}

// VMs told each other losses of pairs but not answers to them, so that a pair
// that most requests have was refused when many targets ended.
TEST_F(LossTablePropertyTest, PairThatPeerAnsweredIsTrustedAtAllVms) {
  LossTable peer({2, kRefusalTime});
  const RequestProperty pair =
      RequestProperty::PairOf(Part("first"), Part("doc"));
  const auto crash = [&] {
    Crash(&table_, Request({"first", "doc"}));
    peer.OnPeerReport(table_.OwnReport(now_), now_);
  };
  crash();
  crash();
  ASSERT_EQ(table_.Losses(pair), 1);
  now_ += milliseconds(1);
  Answer(&peer, Request({"first", "doc"}));
  crash();
  peer.ReportAnswers([](std::uint64_t) { return 0; }, now_);
  table_.OnPeerReport(peer.OwnReport(now_), now_);
  EXPECT_TRUE(table_.IsTrusted(pair, now_));
  EXPECT_EQ(table_.Losses(pair), 1);
}

// Each VM saw one loss at the most, and remembered its own losses only.
TEST_F(LossTablePropertyTest, PartsTogetherAreRefusedWhicheverVmsLostTargets) {
  constexpr std::size_t kVms = 40;
  const auto tell_all = [&](std::vector<LossTable>* vms, std::size_t from) {
    for (std::size_t i = 0; i < kVms; ++i) {
      if (i != from) {
        (*vms)[i].OnPeerReport((*vms)[from].OwnReport(now_), now_);
      }
    }
  };
  for (const bool is_triple : {false, true}) {
    std::vector<LossTable> vms(kVms, LossTable({2, kRefusalTime}));
    const auto deadly = [&] {
      return is_triple ? Request({"a", "b", "c"}) : Request({"a", "b"});
    };
    int crashes = 0;
    for (std::size_t i = 0; i < kVms && vms[i].RefusedOf(deadly()).empty();
         ++i) {
      Crash(&vms[i], deadly());
      ++crashes;
      tell_all(&vms, i);
      for (const std::vector<std::string>& sound :
           is_triple ? std::vector<std::vector<std::string>>{{"a", "b"},
                                                             {"b", "c"},
                                                             {"a", "c"}}
                     : std::vector<std::vector<std::string>>{{"a"}, {"b"}}) {
        Answer(&vms[i], Request(sound));
      }
      tell_all(&vms, i);
    }
    EXPECT_LE(crashes, 5) << "triple " << is_triple;
  }
}

// Targets are lost for any reason, while nothing is answered in between.
TEST_F(LossTablePropertyTest, WhatAllRequestsShareIsNotRefusedAfterFewLosses) {
  for (int i = 0; i < 4; ++i) {
    Crash(&table_, Request({}));
  }
  const std::vector<RequestProperty> shared =
      table_.RefusedOf({RequestProperty(PropertyKind::kKey, "k"),
                        RequestProperty(PropertyKind::kModel, "m"),
                        RequestProperty(PropertyKind::kPath, "p")});
  EXPECT_TRUE(shared.empty()) << PropertiesToString(shared);
}

TEST_F(LossTablePropertyTest, KeyIsRefusedOnceOthersAreAnsweredMeanwhile) {
  int crashes = 0;
  while (!IsRefused(Request({"x"}, "bad key")) && crashes < 20) {
    Crash(&table_, Request({"doc" + std::to_string(crashes++)}, "bad key"));
    Answer(&table_, Request({"sound"}, "k"));
    Answer(&table_, Request({"sound"}, "other"));
  }
  EXPECT_LE(crashes, 5);
  EXPECT_FALSE(IsRefused(Request({"sound"}, "k")));
}

TEST_F(LossTablePropertyTest, PartThatSilencesTargetsIsRefused) {
  Answer(&table_, Request({"first", "doc"}));
  for (int i = 0; i < 2; ++i) {
    Silence(&table_, Request({"first", "bad"}));
    Answer(&table_, Request({"first", "doc"}));
  }
  EXPECT_TRUE(IsRefused(Request({"first", "bad"})));
  EXPECT_FALSE(IsRefused(Request({"first", "doc"})));
}

TEST_F(LossTablePropertyTest, TargetThatIsHeardAfterAllWasNotSilent) {
  Silence(&table_, Request({"first", "slow"}));
  const std::uint32_t target = Silence(&table_, Request({"first", "slow"}));
  ASSERT_TRUE(IsRefused(Request({"first", "slow"})));
  now_ += seconds(4);
  table_.OnTargetHeard(target, now_);
  EXPECT_FALSE(IsRefused(Request({"first", "slow"})));
}

TEST_F(LossTablePropertyTest, RequestThatTargetHadNoTimeForIsNoLoss) {
  const std::vector<RequestProperty> request = Request({"first", "waits"});
  const TargetRun run = TargetRun::Make(request, "busy", now_);
  now_ += milliseconds(100);
  table_.OnTargetHeard(run.target, now_);
  now_ += seconds(1);
  table_.OnSilent(run, now_);
  EXPECT_EQ(table_.Losses(Part("waits")), 0);
}

TEST_F(LossTablePropertyTest, RunsGivenUpAtSilentTargetAreNoLosses) {
  for (int i = 0; i < 3; ++i) {
    const TargetRun left = TargetRun::Make(
        Request({"first", "left"}), "t" + std::to_string(targets_ + 1), now_);
    const std::uint32_t target = Silence(&table_, Request({"first", "slow"}));
    ASSERT_EQ(target, left.target);
    table_.OnAbandoned(left, now_);
  }
  EXPECT_EQ(table_.Losses(Part("slow")), 3);
  EXPECT_EQ(table_.Losses(Part("left")), 0);
}

TEST_F(LossTablePropertyTest, SilentTargetThatEndsIsLost) {
  const std::vector<RequestProperty> request = Request({"first", "bad"});
  const std::uint32_t target = Silence(&table_, request);
  table_.OnTargetLost({request, target, now_ - kRunTime}, now_);
  now_ += seconds(4);
  table_.OnTargetHeard(target, now_);
  EXPECT_EQ(table_.Losses(Part("bad")), 1);
}

TEST_F(LossTablePropertyTest, SilenceThatPeerReportsIsDisprovedByAnyVm) {
  LossTable peer({2, kRefusalTime});
  Silence(&peer, Request({"first", "slow"}));
  const std::uint32_t target = Silence(&peer, Request({"first", "slow"}));
  table_.OnPeerReport(peer.OwnReport(now_), now_);
  ASSERT_TRUE(IsRefused(Request({"first", "slow"})));
  now_ += seconds(4);
  table_.OnTargetHeard(target, now_);
  EXPECT_FALSE(IsRefused(Request({"first", "slow"})));
  peer.OnPeerReport(table_.OwnReport(now_), now_);
  EXPECT_TRUE(peer.RefusedOf(Request({"first", "slow"})).empty());
}

// Before any sound request was answered, everything that the crashing ones have
// in common may be the cause. The most specific is refused first.
TEST_F(LossTablePropertyTest, OfPropertiesAlwaysLostTogetherOneIsRefused) {
  for (int i = 0; i < 6; ++i) {
    const std::vector<RequestProperty> request = Request({"x", "y"});
    if (!IsRefused(request)) {
      Crash(&table_, request);
    }
  }
  EXPECT_EQ(targets_, 2);
  EXPECT_EQ(table_.RefusedCount(), 1);
  EXPECT_FALSE(IsRefused(Request({"z"})));
}

// A rack or failure domain ends with all that runs there.
TEST_F(LossTablePropertyTest, TargetsLostTogetherRefuseNothing) {
  std::mt19937 random(1);
  for (const bool was_answered : {false, true}) {
    LossTable table({2, kRefusalTime});
    if (was_answered) {
      for (int i = 0; i < 20; ++i) {
        Answer(&table, Request({"first", "doc" + std::to_string(i)}));
      }
    }
    const Time lost_at = now_ + seconds(1);
    for (int target = 0; target < 64; ++target) {
      for (int slot = 0; slot < 6; ++slot) {
        const Time sent_at = lost_at - milliseconds(1 + random() % 900);
        std::vector<RequestProperty> request =
            Request({"first", "doc" + std::to_string(random() % 20)});
        request.erase(request.begin());
        table.OnTargetLost(
            TargetRun::Make(request, "m" + std::to_string(target), sent_at),
            // Silent connections are found out one after the other.
            lost_at + milliseconds(random() % 3'000));
      }
    }
    EXPECT_EQ(table.RefusedCount(), 0) << was_answered;
    now_ = lost_at + seconds(4);
  }
}

// Only the losses that are kept count, so the sequence must not be evicted by
// the many that are lost at once.
TEST_F(LossTablePropertyTest, LossesInSequenceOutlastManyAtOnce) {
  for (int i = 0; i < 30; ++i) {
    table_.OnTargetLost(
        TargetRun::Make(Request({"bad"}), "m" + std::to_string(i), now_),
        now_ + milliseconds(1 + i));
  }
  EXPECT_EQ(PropertiesToString(table_.RefusedOf(Request({"bad"}))), "");
  now_ += seconds(1);
  Crash(&table_, Request({"bad"}));
  EXPECT_TRUE(IsRefused(Request({"bad"})));
}

// An answer that began before a loss says nothing of what crashed since.
TEST_F(LossTablePropertyTest, OnlyAnswersThatBeganLaterClearLosses) {
  const Time began_at = now_;
  now_ += milliseconds(10);
  Crash(&table_, Request({"bad"}));
  table_.OnAnswered(TargetRun::Make(Request({"bad"}), "z", began_at), began_at,
                    now_);
  EXPECT_EQ(table_.Losses(Part("bad")), 1);
  Answer(&table_, Request({"bad"}));
  EXPECT_EQ(table_.Losses(Part("bad")), 0);
}

// The VM that hears of losses may not have seen the answers.
TEST_F(LossTablePropertyTest, VmsThatAnsweredPropertyTellOthers) {
  LossTable peer({2, kRefusalTime});
  for (int i = 0; i < 3; ++i) {
    Answer(&peer, Request({"first"}));
  }
  Crash(&table_, Request({"first", "bad"}));
  peer.OnPeerReport(table_.ChangesSince(now_ - seconds(1), now_), now_);
  EXPECT_TRUE(peer.ChangesSince(now_ - seconds(1), now_).answers.empty());
  peer.ReportAnswers([](std::uint64_t) { return 8; }, now_);
  EXPECT_TRUE(peer.ChangesSince(now_ - seconds(1), now_).answers.empty());
  peer.ReportAnswers([](std::uint64_t) { return 7; }, now_);
  const LossReport report = peer.ChangesSince(now_ - seconds(1), now_);
  // The first part, the key and the model.
  EXPECT_EQ(report.answers.size(), 3U);
  table_.OnPeerReport(report, now_);
  EXPECT_TRUE(table_.IsTrusted(Part("first"), now_));
  Crash(&table_, Request({"first", "bad"}));
  EXPECT_TRUE(table_.IsRefused(Part("bad")));
  EXPECT_FALSE(table_.IsRefused(Part("first")));
  now_ += seconds(1);
  peer.ReportAnswers([](std::uint64_t) { return 0; }, now_);
  EXPECT_TRUE(peer.ChangesSince(now_, now_).answers.empty());
}

// At 295 VMs each would tell all others that it has answered what most requests
// have.
TEST_F(LossTablePropertyTest, AnswerIsReportedOnlyByVmsThatSawTheLoss) {
  LossTable peer({2, kRefusalTime});
  Crash(&table_, Request({"first", "doc"}));
  peer.OnPeerReport(table_.ChangesSince(now_ - seconds(1), now_), now_);
  now_ += milliseconds(10);
  Answer(&peer, Request({"first"}));
  EXPECT_EQ(peer.Losses(Part("first")), 0);
  EXPECT_EQ(peer.ChangesSince(now_ - seconds(1), now_), LossReport());
  Answer(&table_, Request({"first"}));
  EXPECT_FALSE(table_.ChangesSince(now_ - seconds(1), now_).answers.empty());
}

TEST_F(LossTablePropertyTest, RunGivenUpBeforeItsTargetIsLostCounts) {
  const std::vector<RequestProperty> left = Request({"bad"});
  table_.OnAbandoned(TargetRun::Make(left, "t1", now_),
                     now_ + milliseconds(100));
  EXPECT_EQ(table_.Losses(Part("bad")), 0);
  table_.OnTargetLost(TargetRun::Make(Request({"other"}), "t1", now_),
                      now_ + milliseconds(300));
  EXPECT_EQ(table_.Losses(Part("bad")), 1);
  // Heard from a peer only, and after the loss.
  LossTable peer({2, kRefusalTime});
  peer.OnAbandoned(TargetRun::Make(left, "t1", now_), now_ + milliseconds(100));
  now_ += milliseconds(300);
  peer.OnPeerReport(table_.ChangesSince(now_, now_), now_);
  peer.OnAbandoned(
      TargetRun::Make(Request({"late"}), "t1", now_ - milliseconds(200)),
      now_ + milliseconds(100));
  EXPECT_EQ(peer.Losses(Part("bad")), 1);
  EXPECT_EQ(peer.Losses(Part("late")), 1);
  EXPECT_EQ(peer.ChangesSince(now_, now_).losses.empty(), false);
}

TEST_F(LossTablePropertyTest, RunGivenUpLongBeforeItsTargetIsLostDoesNotCount) {
  table_.OnAbandoned(TargetRun::Make(Request({"left"}), "t1", now_), now_);
  table_.OnTargetLost(TargetRun::Make(Request({"other"}), "t1", now_),
                      now_ + seconds(2));
  EXPECT_EQ(table_.Losses(Part("left")), 0);
}

// An unframed stream that a crash cuts between two events looks whole.
TEST_F(LossTablePropertyTest, UnprovenAnswerOfLostTargetCountsAsLoss) {
  table_.OnUnprovenAnswer(TargetRun::Make(Request({"a"}), "t1", now_), now_,
                          now_);
  table_.OnTargetLost(TargetRun::Make(Request({"b"}), "t1", now_),
                      now_ + milliseconds(1));
  EXPECT_EQ(table_.Losses(Part("a")), 1);
  table_.OnUnprovenAnswer(TargetRun::Make(Request({"c"}), "t2", now_), now_,
                          now_);
  table_.OnTargetUnreached(Hash32("t2"), now_ + milliseconds(5));
  EXPECT_EQ(table_.Losses(Part("c")), 1);
  table_.OnUnprovenAnswer(TargetRun::Make(Request({"d"}), "t3", now_), now_,
                          now_);
  table_.OnTargetAnswered(Hash32("t3"), now_ + milliseconds(5), now_);
  table_.OnTargetUnreached(Hash32("t3"), now_ + milliseconds(9));
  EXPECT_EQ(table_.Losses(Part("d")), 0);
}

// The stated bound: three sends, over all VMs and all the time. A trial whose
// request is given up is a send as well.
TEST_F(LossTablePropertyTest, TrialsAreBoundedWhateverEndsThem) {
  constexpr int kVms = 84;
  constexpr Duration kReportTime = milliseconds(80);
  for (const bool crashes : {true, false}) {
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
      std::mt19937 random(seed);
      std::vector<LossTable> vms(kVms, LossTable({2, kRefusalTime}));
      Crash(vms.data(), Request({"bad"}));
      Crash(vms.data(), Request({"bad"}));
      const LossReport first = vms[0].ChangesSince(now_ - seconds(1), now_);
      for (LossTable& vm : vms) {
        vm.OnPeerReport(first, now_);
      }
      int sends = 0;
      const Time end = now_ + seconds(580);
      while (now_ < end) {
        now_ += milliseconds(20);
        const std::size_t vm = random() % kVms;
        const std::vector<RequestProperty> request = Request({"bad"});
        if (!vms[vm].TakeTrial(
                request,
                [vm](std::uint64_t) {
                  return milliseconds(250) * static_cast<int>(vm);
                },
                now_)) {
          continue;
        }
        ++sends;
        vms[vm].OnTrialSent(request, now_);
        if (crashes) {
          Crash(&vms[vm], request);
        }
        now_ += kReportTime;
        const LossReport report = vms[vm].ChangesSince(now_ - seconds(1), now_);
        for (LossTable& other : vms) {
          other.OnPeerReport(report, now_);
        }
      }
      EXPECT_EQ(sends, 3) << "crashes " << crashes << " seed " << seed;
    }
  }
}

// Content, path and other properties of one request must not use up the table.
TEST_F(LossTablePropertyTest, RefusedPropertyIsEvictedLast) {
  Crash(&table_, Request({"bad"}));
  Crash(&table_, Request({"bad"}));
  ASSERT_TRUE(table_.IsRefused(Part("bad")));
  for (std::size_t i = 0; i < LossTable::kMaxEntries; ++i) {
    table_.OnTargetLost(TargetRun::Make(Request({"p" + std::to_string(i)}),
                                        "x" + std::to_string(i), now_),
                        now_);
  }
  EXPECT_TRUE(table_.IsRefused(Part("bad")));
}

// One caller whose requests crash targets must not have a part refused that
// others share.
TEST_F(LossTablePropertyTest, PartThatOthersAreAnsweredForIsNotRefused) {
  for (int i = 0; i < 50; ++i) {
    Answer(&table_, Request({"shared"}, "other key"));
    if (table_.RefusedOf(Request({"shared"}, "attacker")).empty()) {
      Crash(&table_, Request({"shared"}, "attacker"));
    }
  }
  EXPECT_FALSE(IsRefused(Request({"shared"}, "other key")));
  EXPECT_TRUE(IsRefused(Request({"shared"}, "attacker")));
  EXPECT_LE(targets_, 5);
}

TEST_F(LossTablePropertyTest, PropertyOfNewerBuildIsIgnored) {
  LossReport report;
  PropertyLoss loss;
  loss.property = RequestProperty::FromCode(0xFF);
  loss.runs = {{1, 0, 0, 0, 0}, {2, 0, 0, 0, 0}, {3, 0, 0, 0, 0}};
  report.losses = {loss};
  report.answers = {{loss.property, 0}};
  table_.OnPeerReport(report, now_);
  table_.Restore(loss, now_);
  EXPECT_EQ(table_.RefusedCount(), 0);
  EXPECT_EQ(table_.Losses(loss.property), 0);
}

}  // namespace
}  // namespace hornbeamcleat
