#include "src/standin/engine_versions.h"

#include <algorithm>
#include <utility>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxBody = 64 * 1024;  // bytes

void AddVersion(SerializationInfo* list, const std::string& model,
                const std::string& version) {
  SerializationInfo& entry = list->addMember();
  entry.setCategory(SerializationInfo::Object);
  entry.addValue("model", model);
  entry.addValue("version", version);
}

}  // namespace

EngineVersions::EngineVersions(std::string model, std::string version,
                               std::optional<Address> store,
                               bool checks_fencing)
    : model_(std::move(model)),
      store_(std::move(store)),
      checks_fencing_(checks_fencing) {
  loaded_.push_back(std::move(version));
}

bool EngineVersions::Load(std::string_view order) {
  const SerializationInfo value = ParseJson(order, kMaxBody);
  const std::string version = RequiredJsonMember<std::string>(value, "version");
  if (!AcceptFencing(JsonMember<std::uint64_t>(value, "fencing", 0))) {
    return false;
  }
  const bool known =
      std::find(loaded_.begin(), loaded_.end(), version) != loaded_.end();
  if (known || loading_.contains(version)) {
    return true;
  }
  if (store_.has_value()) {
    loading_[version] = std::make_unique<WeightFetcher>(*store_, version);
  } else {
    loaded_.push_back(version);
  }
  return true;
}

bool EngineVersions::Unload(std::string_view order) {
  const SerializationInfo value = ParseJson(order, kMaxBody);
  const std::string version = RequiredJsonMember<std::string>(value, "version");
  if (!AcceptFencing(JsonMember<std::uint64_t>(value, "fencing", 0))) {
    return false;
  }
  std::erase(loaded_, version);
  loading_.erase(version);
  return true;
}

void EngineVersions::Poll() {
  std::erase_if(loading_, [this](const auto& each) {
    if (!each.second->Done()) {
      return false;
    }
    loaded_.push_back(each.first);
    return true;
  });
}

std::string EngineVersions::CurrentVersion() const {
  return loaded_.empty() ? "" : loaded_.back();
}

std::string EngineVersions::State() const {
  SerializationInfo value;
  SerializationInfo& loaded = value.addMember("loaded");
  loaded.setCategory(SerializationInfo::Array);
  for (const std::string& version : loaded_) {
    AddVersion(&loaded, model_, version);
  }
  SerializationInfo& loading = value.addMember("loading");
  loading.setCategory(SerializationInfo::Array);
  for (const auto& [version, fetcher] : loading_) {
    AddVersion(&loading, model_, version);
  }
  return FormatJson(value);
}

bool EngineVersions::AcceptFencing(std::uint64_t fencing) {
  if (checks_fencing_ && fencing < highest_fencing_) {
    return false;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  return true;
}

}  // namespace hornbeamcleat
