#include "src/load/engine_work.h"

#include <cxxtools/http/client.h>

#include <exception>
#include <thread>

#include "hornbeamcleat/base/log.h"
#include "hornbeamcleat/base/settings.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxAnswer = 1024 * 1024;  // bytes
constexpr double kTimeoutMs = 2'000;
constexpr std::chrono::milliseconds kPause(200);

void AddEngine(const std::string& engine, EngineWork* work) {
  const Address address = Address::Parse(engine);
  cxxtools::http::Client client(address.ip, address.port);
  client.get("/stats", cxxtools::Milliseconds(kTimeoutMs));
  const SerializationInfo value = ParseJson(client.body(), kMaxAnswer);
  work->requests += JsonMember<std::int64_t>(value, "requests", 0);
  work->repeated_ids += JsonMember<std::int64_t>(value, "repeatedIds", 0);
  work->open += JsonMember<std::int64_t>(value, "open", 0);
  for (const char* end : {"whole", "failed", "cancelled"}) {
    const SerializationInfo* ended = value.findMember(end);
    if (ended != nullptr) {
      work->prefill_tokens +=
          JsonMember<std::int64_t>(*ended, "prefillTokens", 0);
      work->generated_tokens +=
          JsonMember<std::int64_t>(*ended, "generatedTokens", 0);
    }
  }
}

EngineWork ReadOnce(const std::vector<std::string>& engines) {
  EngineWork out;
  for (const std::string& engine : engines) {
    try {
      AddEngine(engine, &out);
    } catch (const std::exception& e) {
      Logger("load").Warning("Engine gave no statistics. engine={} cause={}",
                             engine, e.what());
    }
  }
  return out;
}

}  // namespace

EngineWork ReadEngineWork(const std::vector<std::string>& engines,
                          Duration longest) {
  EngineWork out = ReadOnce(engines);
  for (Duration waited(0); out.open > 0 && waited < longest; waited += kPause) {
    std::this_thread::sleep_for(kPause);
    out = ReadOnce(engines);
  }
  return out;
}

}  // namespace hornbeamcleat
