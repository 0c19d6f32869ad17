#include <string>

#include "src/ctl/flags.h"
#include "src/standin/fake_service.h"

namespace hornbeamcleat {
namespace {

int Run(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  FakeServiceSettings settings;
  Flags flags("fake-service", "Fake HTTP service for tests.", "");
  flags.Add("listen", &listen, "IP:PORT to listen on; port 0: any free port.");
  flags.Add("answer-time", &settings.answer_time, "Duration of each call.");
  flags.Add("service-version", &settings.version, "Reported service version.");
  if (flags.Parse(argc, argv) == Flags::Next::kExit) {
    return 0;
  }
  const std::unique_ptr<Standin> service = MakeFakeService(settings);
  ServeUntilSignal(listen, service.get());
  return 0;
}

}  // namespace
}  // namespace hornbeamcleat

int main(int argc, char** argv) {
  return hornbeamcleat::RunStandin("fake-service", &hornbeamcleat::Run, argc,
                                   argv);
}
