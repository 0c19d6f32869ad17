#include <cstdlib>
#include <string>

#include "src/ctl/flags.h"
#include "src/standin/fake_engine.h"

namespace hornbeamcleat {
namespace {

void AddSpeed(Flags* flags, EngineSpeed* speed) {
  flags->Add("prefill-rate", &speed->prefill_tokens_per_second,
             "Prompt tokens prefilled a second.");
  flags->Add("prefill-chunk", &speed->prefill_tokens_per_step,
             "Prompt tokens prefilled in one step at most.");
  flags->Add("step", &speed->step, "Decode step of an empty batch.");
  flags->Add("step-per-stream", &speed->step_per_stream,
             "Length each stream adds to a step.");
  flags->Add("cache-blocks", &speed->cache_blocks,
             "Prompt blocks the cache holds.");
}

void AddReports(Flags* flags, FakeEngineSettings* settings) {
  flags->Add("load-lag", &settings->load_lag, "Age of load reports.");
  flags->Add("event-lag", &settings->event_lag, "Delay of cache events.");
  flags->Add("event-drop-every", &settings->event_drop_every,
             "Every n-th cache event is lost; 0: none.");
  flags->Add("keep-ended", &settings->keep_ended,
             "Time an ended stream is kept.");
  flags->Add("keep-unread", &settings->keep_unread,
             "Time a stream runs on without a reader.");
}

int Run(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  std::string store;
  bool ignores_fencing = false;
  std::int64_t seed = 1;
  FakeEngineSettings settings;
  Flags flags("fake-engine", "Stand-in for a model engine.", "");
  flags.Add("listen", &listen, "IP:PORT to listen on; port 0 picks one.");
  flags.Add("model", &settings.model, "Model it serves.");
  flags.Add("model-version", &settings.version, "Version loaded at the start.");
  flags.Add("weight-store", &store, "IP:PORT of the weight store.");
  flags.Add("ignore-fencing", &ignores_fencing,
            "Take orders with an old fencing number.");
  flags.Add("seed", &seed, "Seed of the drawn faults.");
  AddSpeed(&flags, &settings.speed);
  AddReports(&flags, &settings);
  if (flags.Parse(argc, argv) == Flags::Next::kExit) {
    return 0;
  }
  settings.checks_fencing = !ignores_fencing;
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
