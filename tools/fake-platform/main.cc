#include <string>

#include "src/ctl/flags.h"
#include "src/standin/fake_platform.h"

namespace hornbeamcleat {
namespace {

int Run(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  FakePlatformSettings settings;
  std::int64_t retain_records =
      static_cast<std::int64_t>(settings.retention.records);
  Flags flags("fake-platform",
              "Fake platform for tests: log, VM list and weight store.", "");
  flags.Add("listen", &listen, "IP:PORT to listen on; port 0: any free port.");
  flags.Add("retain-records", &retain_records,
            "Maximum records retained per stream.");
  flags.Add("retain-age", &settings.retention.age,
            "Maximum age of retained records.");
  flags.Add("appends-per-second", &settings.appends_per_second,
            "Append calls accepted per second.");
  flags.Add("weight-rate", &settings.weight_bytes_per_second,
            "Throughput of the weight store in bytes per second.");
  flags.Add("weight-bytes", &settings.weight_bytes,
            "Size of each weights file in bytes.");
  flags.Add("vm-lag", &settings.vm_lag, "Lag of the VM list.");
  if (flags.Parse(argc, argv) == Flags::Next::kExit) {
    return 0;
  }
  settings.retention.records = static_cast<std::size_t>(retain_records);
  const std::unique_ptr<Standin> platform = MakeFakePlatform(settings);
  ServeUntilSignal(listen, platform.get());
  return 0;
}

}  // namespace
}  // namespace hornbeamcleat

int main(int argc, char** argv) {
  return hornbeamcleat::RunStandin("fake-platform", &hornbeamcleat::Run, argc,
                                   argv);
}
