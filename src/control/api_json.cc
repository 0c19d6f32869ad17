#include "src/control/api_json.h"

#include "hornbeamcleat/config/resource_json.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxTextBytes = 4 * kMaxResourceBytes;

SerializationInfo& AddArray(SerializationInfo* parent,
                            const std::string& name) {
  SerializationInfo& array = parent->addMember(name);
  array.setCategory(SerializationInfo::Array);
  return array;
}

void AddMoveStatus(const Resource& resource, const ConfigState& config,
                   SerializationInfo* status) {
  const std::map<std::string, MoveProgressRecord>::const_iterator it =
      config.moves.find(resource.name);
  const bool begun = it != config.moves.end();
  status->addValue("phase", begun ? it->second.phase : std::string("Loading"));
  status->addValue("sharePermille", begun ? it->second.share_permille : 0);
  status->addValue("reason", begun ? it->second.reason : std::string());
}

void AddVersionStatus(const Resource& resource, const VersionSpec& spec,
                      const ConfigState& config, SerializationInfo* status) {
  const auto it = config.withdrawn.find({spec.model, resource.name});
  status->addValue("withdrawn", it != config.withdrawn.end());
  if (it != config.withdrawn.end()) {
    status->addValue("reason", it->second);
  }
  const auto serving = config.serving.find(spec.model);
  status->addValue("serving", serving != config.serving.end() &&
                                  serving->second == resource.name);
}

SerializationInfo ValueWithStatus(const Resource& resource,
                                  const ConfigState& config) {
  SerializationInfo value = ParseJson(FormatResource(resource), kMaxTextBytes);
  SerializationInfo& status = value.addMember("status");
  status.setCategory(SerializationInfo::Object);
  if (std::holds_alternative<MoveSpec>(resource.spec)) {
    AddMoveStatus(resource, config, &status);
  } else if (const VersionSpec* spec =
                 std::get_if<VersionSpec>(&resource.spec)) {
    AddVersionStatus(resource, *spec, config, &status);
  }
  return value;
}

const char* MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "Alive";
    case MemberState::kSuspect:
      return "Suspect";
    case MemberState::kLeft:
      return "Left";
    case MemberState::kDead:
      return "Dead";
  }
  return "Dead";
}

}  // namespace

std::string ResourceWithStatus(const Resource& resource,
                               const ConfigState& config) {
  return FormatJson(ValueWithStatus(resource, config));
}

std::string ResourceList(const std::string& kind, const ConfigState& config) {
  SerializationInfo value;
  value.addValue("revision", config.revision);
  SerializationInfo& items = AddArray(&value, "items");
  for (const auto& [key, resource] : config.resources) {
    if (key.first == kind) {
      items.addMember() = ValueWithStatus(resource, config);
    }
  }
  return FormatJson(value);
}

std::string StatusJson(const ControlStatus& status) {
  SerializationInfo value;
  value.addValue("revision", status.config_revision);
  value.addValue("ready", status.ready);
  value.addValue("logAvailable", status.log_available);
  value.addValue("entryConnected", status.entry_connected);
  value.addValue("leaseHolder", status.lease_holder);
  SerializationInfo& members = AddArray(&value, "members");
  for (const MemberStatus& member : status.members) {
    SerializationInfo& entry = members.addMember();
    entry.setCategory(SerializationInfo::Object);
    entry.addValue("name", member.member.name);
    entry.addValue("failureDomain", member.member.failure_domain);
    entry.addValue("state", std::string(MemberStateName(member.member.state)));
    entry.addValue("serving", member.serving);
    entry.addValue("revision", member.config_revision);
  }
  SerializationInfo& withdrawn = AddArray(&value, "withdrawn");
  for (const auto& [model, version] : status.withdrawn) {
    SerializationInfo& entry = withdrawn.addMember();
    entry.setCategory(SerializationInfo::Object);
    entry.addValue("model", model);
    entry.addValue("version", version);
  }
  return FormatJson(value);
}

std::string ProblemJson(int status, const std::string& title,
                        const std::string& detail, std::uint64_t version) {
  SerializationInfo value;
  value.addValue("type", std::string("about:blank"));
  value.addValue("title", title);
  value.addValue("status", status);
  value.addValue("detail", detail);
  if (version != 0) {
    value.addValue("resourceVersion", version);
  }
  return FormatJson(value);
}

}  // namespace hornbeamcleat
