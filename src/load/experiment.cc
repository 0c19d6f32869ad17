#include "src/load/experiment.h"

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxText = 1024 * 1024;  // bytes
constexpr char kStep[] = "parse experiment";

void Require(bool condition, const char* expected) {
  if (!condition) {
    throw Error(kStep, "", expected);
  }
}

Duration Seconds(const SerializationInfo& object, const char* name,
                 Duration fallback) {
  return FromSeconds(JsonMember(object, name, ToSeconds(fallback)));
}

RequestClass ParseClass(const SerializationInfo& value) {
  RequestClass out;
  out.name = RequiredJsonMember<std::string>(value, "name");
  out.workspace = RequiredJsonMember<std::string>(value, "workspace");
  out.application = RequiredJsonMember<std::string>(value, "application");
  out.tier = RequiredJsonMember<std::string>(value, "tier");
  out.rank = RequiredJsonMember<int>(value, "rank");
  out.weight = JsonMember(value, "weight", out.weight);
  out.share = JsonMember(value, "share", out.share);
  out.deadline = Seconds(value, "deadlineS", out.deadline);
  out.path = JsonMember(value, "path", out.path);
  out.model = RequiredJsonMember<std::string>(value, "model");
  out.service = JsonMember(value, "service", out.service);
  Require(out.share > 0 && out.weight > 0, "class: share and weight above 0");
  Require(out.deadline > Duration(0), "class: deadlineS above 0");
  return out;
}

ArrivalShape ParseArrivals(const SerializationInfo& value) {
  ArrivalShape out;
  out.per_second = JsonMember(value, "perSecond", out.per_second);
  out.burst_factor = JsonMember(value, "burstFactor", out.burst_factor);
  out.burst_every = Seconds(value, "burstEveryS", out.burst_every);
  out.burst_length = Seconds(value, "burstLengthS", out.burst_length);
  Require(out.per_second > 0 && out.burst_factor > 0,
          "arrivals: perSecond and burstFactor above 0");
  return out;
}

LengthShape ParseLengths(const SerializationInfo& value) {
  LengthShape out;
  out.median_tokens = JsonMember(value, "medianTokens", out.median_tokens);
  out.sigma = JsonMember(value, "sigma", out.sigma);
  out.min_tokens = JsonMember(value, "minTokens", out.min_tokens);
  out.max_tokens = JsonMember(value, "maxTokens", out.max_tokens);
  Require(out.median_tokens > 0 && out.sigma >= 0,
          "lengths: medianTokens above 0, sigma of at least 0");
  Require(out.min_tokens > 0 && out.min_tokens <= out.max_tokens,
          "lengths: 0 < minTokens <= maxTokens");
  return out;
}

PromptShape ParsePrompts(const SerializationInfo& value) {
  PromptShape out;
  out.prefixes = JsonMember(value, "prefixes", out.prefixes);
  out.prefix_bytes = JsonMember(value, "prefixBytes", out.prefix_bytes);
  out.own_bytes = JsonMember(value, "ownBytes", out.own_bytes);
  Require(out.prefixes > 0 && out.prefix_bytes >= 0 && out.own_bytes > 0,
          "prompts: prefixes and ownBytes above 0");
  return out;
}

FaultEvent ParseEvent(const SerializationInfo& value) {
  FaultEvent out;
  out.at = Seconds(value, "atS", out.at);
  out.engine = RequiredJsonMember<std::int64_t>(value, "engine");
  const SerializationInfo* faults = value.findMember("faults");
  Require(faults != nullptr, "event: faults");
  out.faults = FormatJson(*faults);
  return out;
}

void ParseLists(const SerializationInfo& value, Experiment* out) {
  const SerializationInfo* classes = value.findMember("classes");
  Require(classes != nullptr, "classes");
  for (const SerializationInfo& each : *classes) {
    out->classes.push_back(ParseClass(each));
  }
  Require(!out->classes.empty(), "at least one class");
  const SerializationInfo* events = value.findMember("events");
  if (events != nullptr) {
    for (const SerializationInfo& each : *events) {
      out->events.push_back(ParseEvent(each));
    }
  }
}

}  // namespace

Experiment ParseExperiment(std::string_view json) {
  const SerializationInfo value = ParseJson(json, kMaxText);
  const SerializationInfo none;
  const auto member = [&](const char* name) -> const SerializationInfo& {
    const SerializationInfo* found = value.findMember(name);
    return found == nullptr ? none : *found;
  };
  Experiment out;
  out.seed = JsonMember(value, "seed", out.seed);
  out.length = Seconds(value, "lengthS", out.length);
  out.drain = Seconds(value, "drainS", out.drain);
  out.inversion_window =
      Seconds(value, "inversionWindowS", out.inversion_window);
  out.arrivals = ParseArrivals(member("arrivals"));
  out.lengths = ParseLengths(member("lengths"));
  out.prompts = ParsePrompts(member("prompts"));
  out.retries.max_retries =
      JsonMember(member("retries"), "max", out.retries.max_retries);
  ParseLists(value, &out);
  return out;
}

}  // namespace hornbeamcleat
