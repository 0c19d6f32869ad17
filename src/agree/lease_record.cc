#include "src/agree/lease_record.h"

#include "hornbeamcleat/base/error.h"
#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

constexpr std::size_t kMaxRecordBytes = 16 * 1024;

}  // namespace

std::string EncodeLease(const LeaseRecord& record) {
  cxxtools::SerializationInfo value;
  value.addValue("lease", record.lease);
  value.addValue("holder", record.holder);
  value.addValue("n", record.number);
  value.addValue("readTo", record.last_read_offset);
  value.addValue("fencing", record.fencing);
  value.addValue("resigns", record.is_resignation);
  return FormatJson(value);
}

LeaseRecord DecodeLease(std::string_view bytes) {
  try {
    const cxxtools::SerializationInfo value = ParseJson(bytes, kMaxRecordBytes);
    return {RequiredJsonMember<std::string>(value, "lease"),
            RequiredJsonMember<std::string>(value, "holder"),
            RequiredJsonMember<std::uint64_t>(value, "n"),
            RequiredJsonMember<std::uint64_t>(value, "readTo"),
            RequiredJsonMember<std::uint64_t>(value, "fencing"),
            JsonMember(value, "resigns", false)};
  } catch (const std::exception& e) {
    throw Error("decode", "", e.what());
  }
}

}  // namespace hornbeamcleat
