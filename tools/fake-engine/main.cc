#include <cstdlib>
#include <string>

#include "src/ctl/flags.h"
#include "src/standin/fake_engine.h"

namespace hornbeamcleat {
namespace {

void AddSpeedFlags(Flags* flags, EngineSpeed* speed) {
  flags->Add("prefill-rate", &speed->prefill_tokens_per_second,
             "Prompt tokens prefilled per second.");
  flags->Add("prefill-chunk", &speed->prefill_tokens_per_step,
             "Maximum prompt tokens prefilled per step.");
  flags->Add("step", &speed->step,
             "Duration of a decode step with an empty batch.");
  flags->Add("step-per-stream", &speed->step_per_stream,
             "Step duration added by each stream.");
  flags->Add("cache-blocks", &speed->cache_blocks,
             "Capacity of the prefix cache in prompt blocks.");
}

void AddReportFlags(Flags* flags, FakeEngineSettings* settings) {
  flags->Add("load-lag", &settings->load_lag, "Age of load reports.");
  flags->Add("event-lag", &settings->event_lag, "Delay of cache events.");
  flags->Add("event-drop-every", &settings->event_drop_every,
             "Drop every n-th cache event; 0: none.");
  flags->Add("keep-ended", &settings->keep_ended,
             "Retention time of an ended stream.");
  flags->Add("keep-unread", &settings->keep_unread,
             "Time a stream continues without a reader.");
}

int Run(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  std::string store;
  bool ignore_fencing = false;
  std::int64_t seed = 1;
  FakeEngineSettings settings;
  Flags flags("fake-engine", "Fake model engine for tests.", "");
  flags.Add("listen", &listen, "IP:PORT to listen on; port 0: any free port.");
  flags.Add("model", &settings.model, "Name of the served model.");
  flags.Add("model-version", &settings.version,
            "Model version loaded at startup.");
  flags.Add("weight-store", &store, "IP:PORT of the weight store.");
  flags.Add("ignore-fencing", &ignore_fencing,
            "Accept commands with a stale fencing token.");
  flags.Add("seed", &seed, "Random seed of the injected faults.");
  AddSpeedFlags(&flags, &settings.speed);
  AddReportFlags(&flags, &settings);
  if (flags.Parse(argc, argv) == Flags::Next::kExit) {
    return 0;
  }
  settings.checks_fencing = !ignore_fencing;
  settings.seed = static_cast<std::uint64_t>(seed);
  settings.crash = [] { std::abort(); };
  if (!store.empty()) {
    settings.weight_store = Address::Parse(store);
  }
  const std::unique_ptr<Standin> engine = MakeFakeEngine(settings);
  ServeUntilSignal(listen, engine.get());
  return 0;
}

}  // namespace
}  // namespace hornbeamcleat

int main(int argc, char** argv) {
  return hornbeamcleat::RunStandin("fake-engine", &hornbeamcleat::Run, argc,
                                   argv);
}
