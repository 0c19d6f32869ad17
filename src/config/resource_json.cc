#include "hornbeamcleat/config/resource_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>

#include "hornbeamcleat/base/error.h"
#include "hornbeamcleat/base/settings.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr char kParseStep[] = "parse resource";
constexpr char kValidateStep[] = "validate resource";
constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxApplications = 1'000;
constexpr int kFullSharePermille = 1'000;
constexpr std::size_t kMaxResources = 100'000;

Duration Milliseconds(std::int64_t ms) { return std::chrono::milliseconds(ms); }

std::int64_t ToMilliseconds(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

WorkspaceSpec ParseWorkspace(const SerializationInfo& spec) {
  WorkspaceSpec out;
  out.tier = RequiredJsonMember<std::string>(spec, "tier");
  out.weight = JsonMember(spec, "weight", out.weight);
  const SerializationInfo* applications = spec.findMember("applications");
  if (applications == nullptr) {
    return out;
  }
  for (const SerializationInfo& entry : *applications) {
    ApplicationSpec application;
    application.name = RequiredJsonMember<std::string>(entry, "name");
    application.model = RequiredJsonMember<std::string>(entry, "model");
    application.idempotent =
        JsonMember(entry, "idempotent", application.idempotent);
    out.applications.push_back(application);
  }
  return out;
}

TierSpec ParseTier(const SerializationInfo& spec) {
  TierSpec out;
  out.rank = RequiredJsonMember<int>(spec, "rank");
  out.default_deadline = Milliseconds(JsonMember(
      spec, "defaultDeadlineMs", ToMilliseconds(out.default_deadline)));
  return out;
}

TargetKind ParseTargetKind(const std::string& name) {
  if (name == "engine") {
    return TargetKind::kEngine;
  }
  if (name == "service") {
    return TargetKind::kService;
  }
  throw Error(kParseStep, "",
              fmt::format("kind '{}' is neither engine nor service", name));
}

TargetSpec ParseTarget(const SerializationInfo& spec) {
  TargetSpec out;
  out.kind = ParseTargetKind(JsonMember<std::string>(spec, "kind", "engine"));
  out.address = RequiredJsonMember<std::string>(spec, "address");
  out.failure_domain = JsonMember<std::string>(spec, "failureDomain", "");
  out.model = RequiredJsonMember<std::string>(spec, "model");
  out.version = RequiredJsonMember<std::string>(spec, "version");
  out.hardware = JsonMember<std::string>(spec, "hardware", "");
  out.checks_fencing = JsonMember(spec, "checksFencing", out.checks_fencing);
  return out;
}

VersionSpec ParseVersion(const SerializationInfo& spec) {
  VersionSpec out;
  out.model = RequiredJsonMember<std::string>(spec, "model");
  out.weights = JsonMember<std::string>(spec, "weights", "");
  out.weight_bytes = JsonMember(spec, "weightBytes", out.weight_bytes);
  return out;
}

MoveSpec ParseMove(const SerializationInfo& spec) {
  MoveSpec out;
  out.model = RequiredJsonMember<std::string>(spec, "model");
  out.from_version = RequiredJsonMember<std::string>(spec, "fromVersion");
  out.to_version = RequiredJsonMember<std::string>(spec, "toVersion");
  out.deadline = WallTime(std::chrono::milliseconds(
      RequiredJsonMember<std::int64_t>(spec, "deadlineUnixMs")));
  out.bake_time = Milliseconds(
      JsonMember(spec, "bakeTimeMs", ToMilliseconds(out.bake_time)));
  out.max_fault_ratio = JsonMember(spec, "maxFaultRatio", out.max_fault_ratio);
  out.max_latency_ratio =
      JsonMember(spec, "maxLatencyRatio", out.max_latency_ratio);
  const SerializationInfo* steps = spec.findMember("stepsPermille");
  if (steps == nullptr) {
    return out;
  }
  for (const SerializationInfo& step : *steps) {
    int permille = 0;
    step.getValue(permille);
    out.steps_permille.push_back(permille);
  }
  return out;
}

ResourceSpec ParseSpec(const std::string& kind, const SerializationInfo& spec) {
  if (kind == "Workspace") return ParseWorkspace(spec);
  if (kind == "Tier") return ParseTier(spec);
  if (kind == "Target") return ParseTarget(spec);
  if (kind == "Version") return ParseVersion(spec);
  if (kind == "Move") return ParseMove(spec);
  throw Error(
      kParseStep, "",
      fmt::format("unknown kind '{}'; expected Workspace, Tier, Target, "
                  "Version or Move",
                  kind));
}

const SerializationInfo& RequiredObject(const SerializationInfo& parent,
                                        const std::string& name) {
  const SerializationInfo* member = parent.findMember(name);
  if (member == nullptr || member->category() != SerializationInfo::Object) {
    throw Error(kParseStep, "", fmt::format("object '{}' is missing", name));
  }
  return *member;
}

Resource ResourceFromJson(const SerializationInfo& value) {
  try {
    const SerializationInfo& metadata = RequiredObject(value, "metadata");
    Resource out;
    out.name = RequiredJsonMember<std::string>(metadata, "name");
    out.version = JsonMember(metadata, "resourceVersion", out.version);
    out.spec = ParseSpec(RequiredJsonMember<std::string>(value, "kind"),
                         RequiredObject(value, "spec"));
    return out;
  } catch (const Error& e) {
    throw Error(kParseStep, "", e.what());
  } catch (const std::exception& e) {
    throw Error(kParseStep, "", e.what());
  }
}

struct SpecFormatter {
  SerializationInfo* out;

  void operator()(const WorkspaceSpec& spec) const {
    out->addValue("tier", spec.tier);
    out->addValue("weight", spec.weight);
    SerializationInfo& list = out->addMember("applications");
    list.setCategory(SerializationInfo::Array);
    for (const ApplicationSpec& application : spec.applications) {
      SerializationInfo& entry = list.addMember();
      entry.setCategory(SerializationInfo::Object);
      entry.addValue("name", application.name);
      entry.addValue("model", application.model);
      entry.addValue("idempotent", application.idempotent);
    }
  }
  void operator()(const TierSpec& spec) const {
    out->addValue("rank", spec.rank);
    out->addValue("defaultDeadlineMs", ToMilliseconds(spec.default_deadline));
  }
  void operator()(const TargetSpec& spec) const {
    out->addValue(
        "kind",
        std::string(spec.kind == TargetKind::kEngine ? "engine" : "service"));
    out->addValue("address", spec.address);
    out->addValue("failureDomain", spec.failure_domain);
    out->addValue("model", spec.model);
    out->addValue("version", spec.version);
    out->addValue("hardware", spec.hardware);
    out->addValue("checksFencing", spec.checks_fencing);
  }
  void operator()(const VersionSpec& spec) const {
    out->addValue("model", spec.model);
    out->addValue("weights", spec.weights);
    out->addValue("weightBytes", spec.weight_bytes);
  }
  void operator()(const MoveSpec& spec) const {
    out->addValue("model", spec.model);
    out->addValue("fromVersion", spec.from_version);
    out->addValue("toVersion", spec.to_version);
    out->addValue(
        "deadlineUnixMs",
        static_cast<std::int64_t>(spec.deadline.time_since_epoch().count()));
    out->addValue("bakeTimeMs", ToMilliseconds(spec.bake_time));
    out->addValue("maxFaultRatio", spec.max_fault_ratio);
    out->addValue("maxLatencyRatio", spec.max_latency_ratio);
    SerializationInfo& steps = out->addMember("stepsPermille");
    steps.setCategory(SerializationInfo::Array);
    for (const int step : spec.steps_permille) {
      steps.addMember().setValue(step);
    }
  }
};

void Require(bool holds, const std::string& name, const char* expected) {
  if (!holds) {
    throw Error(kValidateStep, "",
                fmt::format("'{}': expected {}", name, expected));
  }
}

struct Validator {
  const std::string& name;

  void operator()(const WorkspaceSpec& spec) const {
    Require(!spec.tier.empty(), name, "a tier");
    Require(std::isfinite(spec.weight) && spec.weight > 0, name,
            "a weight above 0");
    Require(spec.applications.size() <= kMaxApplications, name,
            "at most 1000 applications");
    std::vector<std::string> names;
    for (const ApplicationSpec& application : spec.applications) {
      Require(!application.name.empty() && !application.model.empty(), name,
              "a name and a model in each application");
      names.push_back(application.name);
    }
    std::sort(names.begin(), names.end());
    Require(std::adjacent_find(names.begin(), names.end()) == names.end(), name,
            "unique application names");
  }
  void operator()(const TierSpec& spec) const {
    Require(spec.rank >= 0 && spec.rank < 100, name, "a rank from 0 to 99");
    Require(spec.default_deadline > Duration(0), name,
            "a default deadline above 0");
  }
  void operator()(const TargetSpec& spec) const {
    Require(!spec.model.empty() && !spec.version.empty(), name,
            "a model and a version");
    Address::Parse(spec.address);
  }
  void operator()(const VersionSpec& spec) const {
    Require(!spec.model.empty(), name, "a model");
    Require(spec.weight_bytes >= 0, name, "weight bytes of at least 0");
  }
  void operator()(const MoveSpec& spec) const {
    Require(!spec.model.empty() && !spec.from_version.empty() &&
                !spec.to_version.empty(),
            name, "a model and two versions");
    Require(spec.from_version != spec.to_version, name,
            "two different versions");
    Require(spec.bake_time >= Duration(0), name, "a bake time of at least 0");
    Require(spec.max_fault_ratio > 0 && spec.max_fault_ratio < 1, name,
            "a maximum fault ratio between 0 and 1");
    Require(spec.max_latency_ratio > 1 && spec.max_latency_ratio < 100, name,
            "a maximum latency ratio between 1 and 100");
    Require(std::is_sorted(spec.steps_permille.begin(),
                           spec.steps_permille.end(), std::less_equal<int>()),
            name, "increasing steps");
    Require(spec.steps_permille.empty() ||
                (spec.steps_permille.front() > 0 &&
                 spec.steps_permille.back() == kFullSharePermille),
            name, "steps above 0, the last one 1000");
  }
};

}  // namespace

Resource ParseResource(std::string_view json) {
  return ResourceFromJson(ParseJson(json, kMaxResourceBytes));
}

std::vector<Resource> ParseResources(std::string_view json) {
  const SerializationInfo value =
      ParseJson(json, kMaxResourceBytes * kMaxResources);
  std::vector<Resource> out;
  if (value.category() != SerializationInfo::Array) {
    out.push_back(ResourceFromJson(value));
    return out;
  }
  for (const SerializationInfo& entry : value) {
    out.push_back(ResourceFromJson(entry));
  }
  return out;
}

std::string FormatResource(const Resource& resource, bool beautify) {
  SerializationInfo value;
  value.addValue("kind", std::string(KindName(resource.spec)));
  SerializationInfo& metadata = value.addMember("metadata");
  metadata.addValue("name", resource.name);
  metadata.addValue("resourceVersion", resource.version);
  SerializationInfo& spec = value.addMember("spec");
  spec.setCategory(SerializationInfo::Object);
  std::visit(SpecFormatter{&spec}, resource.spec);
  return FormatJson(value, beautify);
}

void ValidateResource(const Resource& resource) {
  Require(!resource.name.empty() && resource.name.size() <= kMaxNameLength,
          resource.name, "a name of 1 to 128 characters");
  std::visit(Validator{resource.name}, resource.spec);
}

}  // namespace hornbeamcleat
