#include "src/standin/engine_stats.h"

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr StreamState kEndStates[] = {StreamState::kWhole, StreamState::kFailed,
                                      StreamState::kCancelled};

const char* StateName(StreamState state) {
  switch (state) {
    case StreamState::kOpen:
      return "open";
    case StreamState::kWhole:
      return "whole";
    case StreamState::kFailed:
      return "failed";
    case StreamState::kCancelled:
      return "cancelled";
  }
  return "open";
}

}  // namespace

void EngineStats::CountRequest(const std::string& id) {
  ++requests_;
  if (++runs_[id] > 1) {
    ++repeated_;
  }
}

void EngineStats::CountEnd(StreamState state, std::int64_t prefilled,
                           std::int64_t generated) {
  Ended& ended = ended_[static_cast<std::size_t>(state)];
  ++ended.requests;
  ended.prefill_tokens += prefilled;
  ended.generated_tokens += generated;
}

std::string EngineStats::Format(std::size_t running) const {
  SerializationInfo value;
  value.addValue("requests", requests_);
  value.addValue("repeatedIds", repeated_);
  value.addValue("notRun", refused_);
  value.addValue("failedEarly", failed_early_);
  value.addValue("open", static_cast<std::uint64_t>(running));
  for (StreamState state : kEndStates) {
    const Ended& ended = ended_[static_cast<std::size_t>(state)];
    SerializationInfo& entry = value.addMember(StateName(state));
    entry.setCategory(SerializationInfo::Object);
    entry.addValue("requests", ended.requests);
    entry.addValue("prefillTokens", ended.prefill_tokens);
    entry.addValue("generatedTokens", ended.generated_tokens);
  }
  return FormatJson(value);
}

}  // namespace hornbeamcleat
