#include "tests/system/small_system.h"

#include <fmt/format.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "src/base/json.h"
#include "src/base/socket_address.h"
#include "tests/system/http_call.h"

namespace hornbeamcleat {
namespace {

constexpr int kEngines = 2;
constexpr std::size_t kMaxJson = 1024 * 1024;

// Ports that were free a moment ago, all different. They lie below the range
// that the system gives to outgoing connections, which would otherwise take the
// port of a killed daemon before it is started again.
std::vector<int> FreePorts(int n) {
  constexpr int kFirst = 12'000;
  constexpr int kRange = 20'000;
  std::vector<int> ports;
  const int start = static_cast<int>(getpid()) * 131 % kRange;
  for (int i = 0; static_cast<int>(ports.size()) < n && i < kRange; ++i) {
    const int port = kFirst + (start + i) % kRange;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address =
        ToSocketAddress({"127.0.0.1", static_cast<std::uint16_t>(port)});
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0) {
      ports.push_back(port);
    }
    close(fd);
  }
  return ports;
}

std::string Local(int port) { return fmt::format("127.0.0.1:{}", port); }

}  // namespace

SmallSystem::SmallSystem(int vms, int cut_off) : cut_off_(cut_off) {
  std::string pattern = "/tmp/hornbeamcleat-test-XXXXXX";
  directory_ = mkdtemp(pattern.data());
  platform_ = std::make_unique<ChildProcess>(
      "fake-platform", std::vector<std::string>{}, Path("platform.log"));
  service_ = std::make_unique<ChildProcess>(
      "fake-service", std::vector<std::string>{"--answer-time", "20ms"},
      Path("service.log"));
  for (int i = 0; i < kEngines; ++i) {
    engines_.push_back(std::make_unique<ChildProcess>(
        "fake-engine",
        std::vector<std::string>{"--model", "llm", "--step", "20ms"},
        Path(fmt::format("engine-{}.log", i))));
    engine_addresses_.push_back(engines_.back()->ListeningAddress());
  }
  platform_address_ = platform_->ListeningAddress();
  service_address_ = service_->ListeningAddress();
  const std::vector<int> free = FreePorts(5 * vms);
  for (int i = 0; i < vms; ++i) {
    ports_.push_back({free[5 * i], free[5 * i + 1], free[5 * i + 2],
                      free[5 * i + 3], free[5 * i + 4]});
  }
  control_.resize(vms);
  entry_.resize(vms);
  for (int i = 0; i < vms; ++i) {
    WriteSettings(i);
    StartControl(i);
    StartEntry(i);
  }
}

SmallSystem::~SmallSystem() {
  entry_.clear();
  control_.clear();
  engines_.clear();
  service_.reset();
  platform_.reset();
  std::filesystem::remove_all(directory_);
}

std::string SmallSystem::Path(const std::string& name) const {
  return directory_ + "/" + name;
}

void SmallSystem::WriteSettings(int vm) const {
  std::string peers;
  for (const Ports& ports : ports_) {
    peers += (peers.empty() ? "" : ",") + Local(ports.gossip);
  }
  const Ports& own = ports_[vm];
  std::ofstream(Path(fmt::format("control-{}.ini", vm))) << fmt::format(
      "[vm]\nname = vm-{0}\nfailure_domain = domain-{0}\n"
      "[platform]\naddress = {1}\n"
      "[gossip]\nlisten = {2}\npeers = {3}\nkey = a-secret-of-all-vms\n"
      "probe_period = 200ms\n"
      "[link]\nlisten = {4}\n"
      "[entry]\ncaller_url = http://{5}\nadmin = {6}\n"
      "[api]\nlisten = {7}\n",
      vm, vm == cut_off_ ? "127.0.0.1:1" : platform_address_, Local(own.gossip),
      peers, Local(own.link), Local(own.caller), Local(own.admin),
      Local(own.api));
  std::ofstream(Path(fmt::format("entry-{}.ini", vm))) << fmt::format(
      "[entry]\nname = vm-{0}\nfailure_domain = domain-{0}\n"
      "listen = {1}\nlisten_admin = {2}\ncontrol = {3}\n"
      "[keys]\nhandle_key = a-secret-of-all-entries\n",
      vm, Local(own.caller), Local(own.admin), Local(own.link));
}

void SmallSystem::StartControl(int vm) {
  control_[vm] = std::make_unique<ChildProcess>(
      "hornbeamcleat-control",
      std::vector<std::string>{"--settings",
                               Path(fmt::format("control-{}.ini", vm))},
      Path(fmt::format("control-{}.log", vm)));
}

void SmallSystem::StartEntry(int vm) {
  entry_[vm] = std::make_unique<ChildProcess>(
      "hornbeamcleat-entry",
      std::vector<std::string>{"--settings",
                               Path(fmt::format("entry-{}.ini", vm))},
      Path(fmt::format("entry-{}.log", vm)));
}

bool SmallSystem::Begin() {
  for (int i = 0; i < Vms(); ++i) {
    if (i != cut_off_ && !WaitForStatus(ApiUrl(i) + "/readyz", 200)) {
      return false;
    }
  }
  const int at = cut_off_ == 0 ? 1 : 0;
  const bool put =
      Put(at, "Tier", "gold", R"({"rank":0,"defaultDeadlineMs":20000})") ==
          200 &&
      Put(at, "Workspace", "w",
          R"({"tier":"gold","applications":[{"name":"chat","model":"llm"},)"
          R"({"name":"book","model":"hire","idempotent":false}]})") == 200 &&
      Put(at, "Version", "v1", R"({"model":"llm"})") == 200 &&
      Put(at, "Version", "h1", R"({"model":"hire"})") == 200 &&
      Put(at, "Target", "s",
          fmt::format(R"({{"kind":"service","address":"{}","model":"hire",)"
                      R"("version":"h1"}})",
                      service_address_)) == 200;
  if (!put) {
    return false;
  }
  for (int i = 0; i < kEngines; ++i) {
    if (Put(at, "Target", fmt::format("e{}", i),
            fmt::format(R"({{"address":"{}","model":"llm","version":"v1"}})",
                        engine_addresses_[i])) != 200) {
      return false;
    }
  }
  const std::uint64_t revision = Revision(at);
  for (int i = 0; i < Vms(); ++i) {
    for (int n = 0; n < 100 && Revision(i) < revision; ++n) {
      usleep(100'000);
    }
    if (Revision(i) < revision ||
        !WaitForStatus(AdminUrl(i) + "/readyz", 200)) {
      return false;
    }
  }
  return true;
}

std::string SmallSystem::CallerUrl(int vm) const {
  return "http://" + Local(ports_[vm].caller);
}
std::string SmallSystem::AdminUrl(int vm) const {
  return "http://" + Local(ports_[vm].admin);
}
std::string SmallSystem::ApiUrl(int vm) const {
  return "http://" + Local(ports_[vm].api);
}
std::string SmallSystem::PlatformUrl() const {
  return "http://" + platform_address_;
}
std::string SmallSystem::EngineUrl(int i) const {
  return "http://" + engine_addresses_[i];
}
std::string SmallSystem::ServiceUrl() const {
  return "http://" + service_address_;
}

int SmallSystem::Put(int vm, const std::string& kind, const std::string& name,
                     const std::string& spec, std::uint64_t version) const {
  const std::string body = fmt::format(
      R"({{"kind":"{}","metadata":{{"name":"{}","resourceVersion":{}}},)"
      R"("spec":{}}})",
      kind, name, version, spec);
  return CallHttp("PUT", ApiUrl(vm) + "/api/" + kind + "/" + name, {}, body)
      .status;
}

std::uint64_t SmallSystem::Revision(int vm) const {
  const HttpAnswer answer = GetHttp(ApiUrl(vm) + "/api/status");
  if (answer.status != 200) {
    return 0;
  }
  return JsonMember<std::uint64_t>(ParseJson(answer.body, kMaxJson), "revision",
                                   0);
}

}  // namespace hornbeamcleat
