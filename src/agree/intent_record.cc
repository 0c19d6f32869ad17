#include "src/agree/intent_record.h"

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr char kStep[] = "decode";
constexpr std::size_t kMaxRecordBytes = 1024 * 1024;

SerializationInfo& AddArray(SerializationInfo* parent,
                            const std::string& name) {
  SerializationInfo& array = parent->addMember(name);
  array.setCategory(SerializationInfo::Array);
  return array;
}

IntentRecord ParseRecord(const SerializationInfo& value) {
  IntentRecord out;
  out.entry = RequiredJsonMember<std::string>(value, "entry");
  if (const SerializationInfo* releases = value.findMember("releases")) {
    for (const SerializationInfo& entry : *releases) {
      out.releases.push_back({RequiredJsonMember<std::uint64_t>(entry, "n"),
                              RequiredJsonMember<std::string>(entry, "key")});
    }
  }
  if (const SerializationInfo* attempts = value.findMember("attempts")) {
    for (const SerializationInfo& entry : *attempts) {
      out.attempts.push_back({RequiredJsonMember<std::uint64_t>(entry, "n"),
                              RequiredJsonMember<std::string>(entry, "id"),
                              RequiredJsonMember<std::string>(entry, "key")});
    }
  }
  return out;
}

}  // namespace

std::string EncodeIntent(const IntentRecord& record) {
  SerializationInfo value;
  value.addValue("entry", record.entry);
  SerializationInfo& releases = AddArray(&value, "releases");
  for (const IntentRelease& release : record.releases) {
    SerializationInfo& entry = releases.addMember();
    entry.setCategory(SerializationInfo::Object);
    entry.addValue("n", release.number);
    entry.addValue("key", release.key);
  }
  SerializationInfo& attempts = AddArray(&value, "attempts");
  for (const IntentAttempt& attempt : record.attempts) {
    SerializationInfo& entry = attempts.addMember();
    entry.setCategory(SerializationInfo::Object);
    entry.addValue("n", attempt.number);
    entry.addValue("id", attempt.id);
    entry.addValue("key", attempt.key);
  }
  return FormatJson(value);
}

IntentRecord DecodeIntent(std::string_view bytes) {
  try {
    return ParseRecord(ParseJson(bytes, kMaxRecordBytes));
  } catch (const std::exception& e) {
    throw Error(kStep, "", e.what());
  }
}

}  // namespace hornbeamcleat
