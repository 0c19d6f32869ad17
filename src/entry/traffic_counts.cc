#include "src/entry/traffic_counts.h"

namespace hornbeamcleat {

const char* TrafficEventName(TrafficEvent event) {
  switch (event) {
    case TrafficEvent::kParts:
      return "parts";
    case TrafficEvent::kDuplicateParts:
      return "duplicate_parts";
    case TrafficEvent::kPartGaps:
      return "part_gaps";
    case TrafficEvent::kCrossedAnswers:
      return "crossed_answers";
    case TrafficEvent::kTruncatedStreams:
      return "truncated_streams";
    case TrafficEvent::kOversizedAnswers:
      return "oversized_answers";
    case TrafficEvent::kSlowCallers:
      return "slow_callers";
    case TrafficEvent::kGoneCallers:
      return "gone_callers";
    case TrafficEvent::kCallerResumes:
      return "caller_resumes";
    case TrafficEvent::kBadHandles:
      return "bad_handles";
    case TrafficEvent::kBadRequests:
      return "bad_requests";
    case TrafficEvent::kMalformedInput:
      return "malformed_input";
    case TrafficEvent::kOversizedInput:
      return "oversized_input";
    case TrafficEvent::kTooManyOpen:
      return "too_many_open";
    case TrafficEvent::kCount:
      break;
  }
  return "unknown";
}

}  // namespace hornbeamcleat
