#include "src/entry/problem.h"

#include <cxxtools/serializationinfo.h>

#include <chrono>
#include <cstdint>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooMany = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;

const char* Title(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "The request was not run";
    case Outcome::kUnknown:
      return "The request may have run";
    case Outcome::kFailed:
      return "The request ran and failed";
  }
  return "";
}

void AddEntries(const std::vector<EntryAddress>& entries,
                cxxtools::SerializationInfo* object) {
  cxxtools::SerializationInfo& list = object->addMember("entries");
  list.setCategory(cxxtools::SerializationInfo::Array);
  for (const EntryAddress& entry : entries) {
    cxxtools::SerializationInfo& item = list.addMember();
    item.addMember("name") <<= entry.name;
    item.addMember("url") <<= entry.url;
    item.addMember("failureDomain") <<= entry.failure_domain;
  }
}

std::int64_t Milliseconds(Duration d) {
  return std::chrono::ceil<std::chrono::milliseconds>(d).count();
}

}  // namespace

int ProblemStatus(const RefuseAction& refusal) {
  if (refusal.outcome == Outcome::kUnknown) {
    return kStatusTimeout;
  }
  if (refusal.outcome == Outcome::kFailed) {
    return kStatusBadGateway;
  }
  switch (refusal.reason) {
    case Reason::kBadRequest:
      return kStatusBadRequest;
    case Reason::kUnknownWorkspace:
    case Reason::kUnknownApplication:
      return kStatusNotFound;
    case Reason::kQueueFull:
    case Reason::kTierClosed:
      return kStatusTooMany;
    default:
      return kStatusUnavailable;
  }
}

std::string FormatProblem(const RefuseAction& refusal,
                          const std::vector<EntryAddress>& entries) {
  cxxtools::SerializationInfo object;
  object.addMember("type") <<= std::string("about:blank");
  object.addMember("title") <<= std::string(Title(refusal.outcome));
  object.addMember("status") <<= ProblemStatus(refusal);
  object.addMember("outcome") <<= std::string(OutcomeName(refusal.outcome));
  object.addMember("reason") <<= std::string(ReasonName(refusal.reason));
  object.addMember("requestId") <<= refusal.id;
  if (refusal.retry_after > Duration(0)) {
    object.addMember("retryAfterMs") <<= Milliseconds(refusal.retry_after);
  }
  if (!entries.empty()) {
    AddEntries(entries, &object);
  }
  return FormatJson(object);
}

CallerAnswer MakeProblemAnswer(const RefuseAction& refusal,
                               const std::vector<EntryAddress>& entries) {
  CallerAnswer answer;
  answer.status = ProblemStatus(refusal);
  answer.content_type = "application/problem+json";
  if (!refusal.id.empty()) {
    answer.headers["Request-Id"] = refusal.id;
  }
  if (refusal.retry_after > Duration(0)) {
    answer.headers["Retry-After"] = std::to_string(
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after).count());
  }
  answer.body = FormatProblem(refusal, entries);
  return answer;
}

std::string FormatAddresses(const std::vector<EntryAddress>& entries,
                            Duration life) {
  cxxtools::SerializationInfo object;
  object.addMember("ttlMs") <<= Milliseconds(life);
  AddEntries(entries, &object);
  return FormatJson(object);
}

}  // namespace hornbeamcleat
