#ifndef HORNBEAMCLEAT_BENCH_SCHEDULE_OVERLOAD_H_
#define HORNBEAMCLEAT_BENCH_SCHEDULE_OVERLOAD_H_

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bench/schedule/fake_engine.h"
#include "hornbeamcleat/base/hash.h"
#include "hornbeamcleat/schedule/scheduler.h"

namespace hornbeamcleat::overload {

inline constexpr int kTiers = 3;

/// Parameters of the experiment.
struct Setup {
  SchedulePolicy policy = SchedulePolicy::kFull;
  double load = 1;  ///< offered load over capacity
  std::uint64_t seed = 1;
  int entries = 6;
  Duration length = std::chrono::seconds(240);
  Duration gossip_delay = std::chrono::milliseconds(400);
  Duration report_delay = std::chrono::seconds(2);
  bool slow_engine = true;  ///< one engine becomes 5 times slower midway
};

/// Results of the experiment. Rates count requests that arrived after the
/// warm-up.
struct Result {
  std::array<double, kTiers> offered{};  ///< requests per second
  std::array<double, kTiers> goodput{};  ///< completed in time, per second
  double prefill = 0;                    ///< tokens
  double wasted_prefill = 0;             ///< for requests not completed in time
  int inversions = 0;  ///< refusals while a greater rank was dispatched
  std::map<std::string, int> refusals;

  double Total() const { return goodput[0] + goodput[1] + goodput[2]; }
};

/// Open-loop load on several schedulers that share engines of different speeds
/// and exchange their state with a delay, in virtual time.
class Overload {
 public:
  explicit Overload(const Setup& setup) : setup_(setup), random_(setup.seed) {
    for (std::size_t i = 0; i < kSpeeds.size(); ++i) {
      engines_.emplace_back("e" + std::to_string(i), kSpeeds[i]);
    }
    MakeConfig();
    for (int i = 0; i < setup.entries; ++i) {
      SchedulerOptions options;
      options.policy = setup.policy;
      options.seed = setup.seed * 100 + static_cast<std::uint64_t>(i);
      entries_.push_back(Scheduler::Make(options));
    }
    facts_.resize(entries_.size());
  }

  Result Run() {
    const Time start = now_;
    const Time end = start + setup_.length;
    Gossip();
    while (now_ < end + kDrainTime) {
      now_ += kStep;
      ++step_;
      if (setup_.slow_engine && now_ >= start + setup_.length / 2) {
        engines_[0].SlowDown(5);
      }
      if (now_ < end) {
        SubmitArrivals();
      }
      for (FakeEngine& engine : engines_) {
        StepEngine(&engine);
      }
      if (step_ % kStepsPerTick == 0) {
        Tick();
      }
    }
    return Sum(start + kWarmUp, end);
  }

  /// Requests per second that the engines can serve with 60 ms between parts.
  static double Capacity() {
    double parts = 0;
    for (const double speed : kSpeeds) {
      const double gap = 0.06;
      const double batch =
          FakeEngine::kBatchDoublingGap * (gap * speed / FakeEngine::kGap - 1);
      parts += batch / gap;
    }
    return parts / kMeanParts * kDecodeShare;
  }

 private:
  static constexpr std::array<double, 10> kSpeeds = {
      1, 1, 1, 0.7, 0.7, 0.7, 0.7, 0.45, 0.45, 0.45};
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr int kStepsPerTick = 10;
  static constexpr Duration kWarmUp = std::chrono::seconds(60);
  static constexpr Duration kDrainTime = std::chrono::seconds(130);
  static constexpr double kMeanParts = 84;
  static constexpr double kDecodeShare = 0.8;  ///< the rest is prefill
  static constexpr std::array<double, kTiers> kTierShare = {0.3, 0.35, 0.35};

  struct Kind {
    const char* application;
    double share;
    double median_parts;
    double spread;
    int deadline_seconds;
  };
  static constexpr std::array<Kind, 3> kKinds = {
      {{"tag", 0.5, 4, 0.3, 5},
       {"chat", 0.4, 70, 0.5, 20},
       {"draft", 0.1, 450, 0.4, 60}}};
  struct RankEvent {
    Time at;
    int rank;
  };

  void MakeConfig() {
    for (int rank = 0; rank < kTiers; ++rank) {
      const std::string tier = "tier" + std::to_string(rank);
      Put(tier, TierSpec{rank, std::chrono::seconds(60)});
      for (const char* size : {"large", "small"}) {
        WorkspaceSpec workspace;
        workspace.tier = tier;
        for (const Kind& kind : kKinds) {
          workspace.applications.push_back({kind.application, "m", true});
        }
        Put(tier + size, workspace);
      }
    }
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      TargetSpec spec;
      spec.address = "127.0.0.1:1";
      spec.model = "m";
      spec.version = "v1";
      spec.hardware = "h" + std::to_string(kSpeeds[i]);
      Put(engines_[i].Name(), spec);
    }
  }

  void Put(const std::string& name, const ResourceSpec& spec) {
    config_.resources[{KindName(spec), name}] = Resource{name, 1, spec};
  }

  void SubmitArrivals() {
    const double rate = Capacity() * setup_.load * ToSeconds(kStep);
    std::poisson_distribution<int> count(rate);
    for (int n = count(random_); n > 0; --n) {
      jobs_.push_back(MakeJob());
      Submit(&jobs_.back());
    }
  }

  Job MakeJob() {
    std::discrete_distribution<int> tier(kTierShare.begin(), kTierShare.end());
    std::discrete_distribution<std::size_t> kind_of({50, 40, 10});
    std::uniform_int_distribution<std::uint64_t> family(0, 39);
    // The first entry gets twice as many requests as each other one.
    std::uniform_int_distribution<std::size_t> entry(0, entries_.size());
    Job job;
    job.id = "r" + std::to_string(jobs_.size());
    job.entry = entry(random_) % entries_.size();
    job.rank = tier(random_);
    kind_ = kind_of(random_);
    const Kind& kind = kKinds[kind_];
    std::lognormal_distribution<double> parts(std::log(kind.median_parts),
                                              kind.spread);
    job.parts = static_cast<std::uint32_t>(std::max(1.0, parts(random_)));
    job.shared_tokens = 320;
    job.prompt_tokens = 480;
    job.family = family(random_);
    job.arrival = now_;
    job.deadline = now_ + std::chrono::seconds(kind.deadline_seconds);
    return job;
  }

  void Submit(Job* job) {
    by_id_[job->id] = job;
    std::bernoulli_distribution large(0.8);
    RequestSpec spec;
    spec.id = job->id;
    spec.workspace = "tier" + std::to_string(job->rank) +
                     (large(random_) ? "large" : "small");
    spec.application = kKinds[kind_].application;
    spec.arrival = now_;
    spec.deadline = job->deadline;
    spec.prompt_tokens = job->prompt_tokens;
    spec.properties = {{PropertyKind::kContent, job->id}};
    for (std::uint64_t i = 0; i < 30; ++i) {
      const std::uint64_t seed = i < 20 ? job->family : Hash64(job->id);
      spec.prefix_blocks.push_back(Hash64("block", seed * 100 + i));
    }
    ApplyActions(job->entry, entries_[job->entry]->Submit(spec, now_));
  }

  void StepEngine(FakeEngine* engine) {
    for (const FakeEngine::Progress& progress : engine->Step(kStep, now_)) {
      Job* job = progress.job;
      Scheduler* entry = entries_[job->entry].get();
      if (progress.done) {
        job->on_time = now_ <= job->deadline;
        job->ended = true;
        ApplyActions(
            job->entry,
            entry->OnEvent(AnswerDone{job->id, progress.parts, 0}, now_));
      } else {
        ApplyActions(
            job->entry,
            entry->OnEvent(PartsReceived{job->id, progress.parts}, now_));
      }
    }
  }

  void ApplyActions(std::size_t entry, const Actions& actions) {
    for (const Action& action : actions) {
      if (const DispatchAction* sent = std::get_if<DispatchAction>(&action)) {
        Job* job = by_id_.at(sent->id);
        Engine(sent->target)->Run(job);
        served_.push_back({now_, job->rank});
        ApplyActions(entry,
                     entries_[entry]->OnEvent(RequestSent{sent->id}, now_));
      } else if (const CancelAction* c = std::get_if<CancelAction>(&action)) {
        Engine(c->target)->Cancel(by_id_.at(c->id));
      } else if (const ResumeAction* r = std::get_if<ResumeAction>(&action)) {
        ApplyActions(entry, entries_[entry]->OnEvent(Resumed{r->id}, now_));
      } else if (const RefuseAction* refusal =
                     std::get_if<RefuseAction>(&action)) {
        Job* job = by_id_.at(refusal->id);
        job->ended = true;
        ++result_.refusals[std::string(OutcomeName(refusal->outcome)) + " " +
                           ReasonName(refusal->reason)];
        if (refusal->outcome == Outcome::kNotRun) {
          shed_.push_back({now_, job->rank});
        }
      }
    }
  }

  FakeEngine* Engine(const TargetName& name) {
    return &engines_[static_cast<std::size_t>(std::stoi(name.substr(1)))];
  }

  void Tick() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      ApplyActions(i, entries_[i]->Tick(now_));
    }
    if (step_ % (2 * kStepsPerTick) == 0) {
      Gossip();
    }
    if (step_ % (10 * kStepsPerTick) == 0) {
      Report();
    }
  }

  void Gossip() {
    std::vector<SchedulerFacts> facts;
    for (const auto& entry : entries_) {
      facts.push_back(entry->Facts(now_));
    }
    gossip_.emplace_back(now_ + setup_.gossip_delay, std::move(facts));
    while (!gossip_.empty() && gossip_.front().first <= now_) {
      facts_ = std::move(gossip_.front().second);
      gossip_.pop_front();
    }
    const auto config = std::make_shared<const ConfigState>(config_);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (known_config_ == nullptr) {
        known_config_ = config;
      }
      ApplyActions(i, entries_[i]->SetView(ViewOf(i), now_));
    }
  }

  std::shared_ptr<const ClusterView> ViewOf(std::size_t entry) const {
    auto view = std::make_shared<ClusterView>();
    view->config = known_config_;
    view->entry_count = static_cast<int>(entries_.size());
    view->entry_index = static_cast<int>(entry);
    double demand = 0;
    for (std::size_t i = 0; i < facts_.size(); ++i) {
      const auto of_model = facts_[i].demand.find("m");
      demand += of_model == facts_[i].demand.end() ? 0 : of_model->second;
      const auto closed = facts_[i].closed_rank.find("m");
      if (i != entry && closed != facts_[i].closed_rank.end()) {
        int& least =
            view->peer_closed_rank.try_emplace("m", kNoFloor).first->second;
        least = std::min(least, closed->second);
      }
    }
    const auto own = facts_[entry].demand.find("m");
    if (own != facts_[entry].demand.end() && demand > 0) {
      view->demand_permille_by_model["m"] =
          static_cast<int>(1'000 * own->second / demand);
    }
    return view;
  }

  void Report() {
    std::vector<int> loads;
    for (const FakeEngine& engine : engines_) {
      loads.push_back(engine.Load());
    }
    reports_.emplace_back(now_ + setup_.report_delay, std::move(loads));
    while (!reports_.empty() && reports_.front().first <= now_) {
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        LoadReport report{
            engines_[i].Name(), now_, reports_.front().second[i], 0, 0, false};
        for (const auto& entry : entries_) {
          entry->OnLoadReport(report, now_);
        }
      }
      reports_.pop_front();
    }
  }

  Result Sum(Time from, Time to) {
    const double seconds = ToSeconds(to - from);
    for (const Job& job : jobs_) {
      result_.prefill += job.prefilled;
      result_.wasted_prefill += job.on_time ? 0 : job.prefilled;
      if (job.arrival >= from) {
        const auto rank = static_cast<std::size_t>(job.rank);
        result_.offered[rank] += 1 / seconds;
        result_.goodput[rank] += job.on_time ? 1 / seconds : 0;
      }
    }
    result_.inversions = CountInversions();
    return result_;
  }

  /// Counts the refusals for which any entry dispatched a greater rank between
  /// 0.2 s before and 1 s after.
  int CountInversions() const {
    constexpr Duration kBefore = std::chrono::milliseconds(200);
    constexpr Duration kAfter = std::chrono::seconds(1);
    int found = 0;
    for (const RankEvent& shed : shed_) {
      auto it = std::lower_bound(
          served_.begin(), served_.end(), shed.at - kBefore,
          [](const RankEvent& event, Time at) { return event.at < at; });
      for (; it != served_.end() && it->at <= shed.at + kAfter; ++it) {
        if (it->rank > shed.rank) {
          ++found;
          break;
        }
      }
    }
    return found;
  }

  const Setup setup_;
  std::mt19937_64 random_;
  std::size_t kind_ = 0;
  Time now_ = Time(std::chrono::seconds(1'000));
  std::int64_t step_ = 0;
  ConfigState config_;
  std::shared_ptr<const ConfigState> known_config_;
  std::vector<FakeEngine> engines_;
  std::vector<std::unique_ptr<Scheduler>> entries_;
  std::deque<Job> jobs_;
  std::map<RequestId, Job*> by_id_;
  std::vector<SchedulerFacts> facts_;
  std::deque<std::pair<Time, std::vector<SchedulerFacts>>> gossip_;
  std::deque<std::pair<Time, std::vector<int>>> reports_;
  std::vector<RankEvent> served_;
  std::vector<RankEvent> shed_;
  Result result_;
};

}  // namespace hornbeamcleat::overload

#endif  // HORNBEAMCLEAT_BENCH_SCHEDULE_OVERLOAD_H_
