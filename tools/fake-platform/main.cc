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
              "Stand-in for the platform: log, VM list and weight store.", "");
  flags.Add("listen", &listen, "IP:PORT to listen on; port 0 picks one.");
  flags.Add("retain-records", &retain_records, "Records kept of a stream.");
  flags.Add("retain-age", &settings.retention.age, "Age of records kept.");
  flags.Add("appends-per-second", &settings.appends_per_second,
            "Append calls taken a second.");
  flags.Add("weight-rate", &settings.weight_bytes_per_second,
            "Bytes a second of the weight store.");
  flags.Add("weight-bytes", &settings.weight_bytes, "Size of any weights.");
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
