#include "src/platform/http_platform.h"

#include <cxxtools/base64codec.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <fmt/format.h>

#include "src/base/json.h"

namespace hornbeamcleat {
namespace {

using cxxtools::SerializationInfo;

constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;
constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;

cxxtools::Milliseconds ToCxxtools(Duration d) {
  return cxxtools::Milliseconds(static_cast<double>(d.count()) / 1000.0);
}

std::string ToBase64(const std::string& bytes) {
  return cxxtools::encode<cxxtools::Base64Codec>(bytes);
}

std::string FromBase64(const std::string& text) {
  return cxxtools::decode<cxxtools::Base64Codec>(text);
}

// HTTP client that opens a new connection for each request, so that cxxtools
// never retries a request by itself.
class PlatformClient {
 public:
  PlatformClient(const Address& platform, Duration timeout)
      : platform_(platform), timeout_(timeout) {}

  SerializationInfo Get(const std::string& step, const std::string& url,
                        const std::string& query, Duration wait) const {
    cxxtools::http::Request request(url);
    request.qparams(query);
    int status = 0;
    const std::string body = Exchange(step, request, wait, &status);
    if (status != kHttpOk) {
      throw Error(step, platform_.ToString(), fmt::format("status {}", status));
    }
    return ParseJson(body, kMaxResponseBytes);
  }

  std::string Exchange(const std::string& step,
                       const cxxtools::http::Request& request, Duration wait,
                       int* status) const {
    try {
      cxxtools::http::Client client(platform_.ip, platform_.port);
      client.connect();
      connected_ = true;
      client.execute(request, ToCxxtools(timeout_ + wait));
      client.readBody();
      *status = static_cast<int>(client.header().httpReturnCode());
      return client.body();
    } catch (const std::exception& e) {
      throw Error(step, platform_.ToString(), e.what());
    }
  }

  const Address& Platform() const { return platform_; }
  void ResetConnected() const { connected_ = false; }
  bool Connected() const { return connected_; }

 private:
  Address platform_;
  Duration timeout_;
  mutable bool connected_ = false;
};

class HttpLogService : public LogService {
 public:
  HttpLogService(const Address& platform, Duration timeout)
      : client_(platform, timeout) {}

  std::uint64_t Append(const std::string& stream,
                       const std::string& payload) override {
    return AppendBatch(stream, {payload});
  }

  std::uint64_t AppendBatch(const std::string& stream,
                            const std::vector<std::string>& payloads) override {
    SerializationInfo value;
    SerializationInfo& list = value.addMember("payloads");
    list.setCategory(SerializationInfo::Array);
    for (const std::string& payload : payloads) {
      list.addMember().setValue(ToBase64(payload));
    }
    cxxtools::http::Request request("/log/" + stream);
    request.method("POST");
    request.body() << FormatJson(value);
    return Send(request);
  }

  LogRead Read(const std::string& stream, std::uint64_t from, std::size_t max,
               Duration wait) override {
    const std::int64_t wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const SerializationInfo value = client_.Get(
        "read log", "/log/" + stream,
        fmt::format("from={}&max={}&waitMs={}", from, max, wait_ms), wait);
    LogRead out;
    out.oldest = RequiredJsonMember<std::uint64_t>(value, "oldest");
    out.next = RequiredJsonMember<std::uint64_t>(value, "next");
    const SerializationInfo* records = value.findMember("records");
    if (records == nullptr) {
      return out;
    }
    for (const SerializationInfo& entry : *records) {
      LogRecord record;
      record.offset = RequiredJsonMember<std::uint64_t>(entry, "offset");
      record.time = WallTime(std::chrono::milliseconds(
          RequiredJsonMember<std::int64_t>(entry, "unixMs")));
      record.payload =
          FromBase64(RequiredJsonMember<std::string>(entry, "payload"));
      out.records.push_back(record);
    }
    return out;
  }

 private:
  std::uint64_t Send(const cxxtools::http::Request& request) const {
    const std::string peer = client_.Platform().ToString();
    int status = 0;
    std::string body;
    client_.ResetConnected();
    try {
      body = client_.Exchange("append", request, Duration(0), &status);
    } catch (const Error& e) {
      if (client_.Connected()) {
        throw AppendOutcomeUnknown("append", peer, e.what());
      }
      throw;
    }
    if (status == kHttpServiceUnavailable) {
      throw Error("append", peer,
                  "log service reported that the record was not appended");
    }
    if (status != kHttpOk) {
      throw AppendOutcomeUnknown("append", peer,
                                 fmt::format("status {}", status));
    }
    try {
      return RequiredJsonMember<std::uint64_t>(
          ParseJson(body, kMaxResponseBytes), "offset");
    } catch (const Error& e) {
      throw AppendOutcomeUnknown("append", peer, e.what());
    }
  }

  PlatformClient client_;
};

class HttpVmList : public VmList {
 public:
  HttpVmList(const Address& platform, Duration timeout)
      : client_(platform, timeout) {}

  std::vector<VmEntry> Get() override {
    const SerializationInfo value =
        client_.Get("list VMs", "/vms", "", Duration(0));
    std::vector<VmEntry> out;
    const SerializationInfo* vms = value.findMember("vms");
    if (vms == nullptr) {
      return out;
    }
    for (const SerializationInfo& entry : *vms) {
      out.push_back({RequiredJsonMember<std::string>(entry, "name"),
                     RequiredJsonMember<std::string>(entry, "ip"),
                     JsonMember<std::string>(entry, "failureDomain", ""),
                     JsonMember(entry, "leaving", false)});
    }
    return out;
  }

 private:
  PlatformClient client_;
};

}  // namespace

std::unique_ptr<LogService> MakeHttpLogService(const Address& platform,
                                               Duration timeout) {
  return std::make_unique<HttpLogService>(platform, timeout);
}

std::unique_ptr<VmList> MakeHttpVmList(const Address& platform,
                                       Duration timeout) {
  return std::make_unique<HttpVmList>(platform, timeout);
}

}  // namespace hornbeamcleat
