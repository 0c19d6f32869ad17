#include "tests/system/http_call.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <thread>

namespace hornbeamcleat {
namespace {

constexpr long kTimeoutMs = 20'000;  // NOLINT(google-runtime-int): curl's type
constexpr int kPolls = 300;
constexpr std::chrono::milliseconds kPollPeriod(100);

struct Collector {
  HttpAnswer* answer;
  std::atomic<std::size_t>* received;
};

std::size_t TakeBody(char* data, std::size_t size, std::size_t n, void* user) {
  const Collector* collector = static_cast<Collector*>(user);
  collector->answer->body.append(data, size * n);
  if (collector->received != nullptr) {
    *collector->received = collector->answer->body.size();
  }
  return size * n;
}

std::size_t TakeHeader(char* data, std::size_t size, std::size_t n,
                       void* user) {
  const std::string line(data, size * n);
  const std::size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const std::size_t first = line.find_first_not_of(' ', colon + 1);
    const std::size_t end = line.find_last_not_of("\r\n ") + 1;
    if (first < end) {
      static_cast<HttpAnswer*>(user)->headers[name] =
          line.substr(first, end - first);
    }
  }
  return size * n;
}

}  // namespace

HttpAnswer CallHttp(const std::string& method, const std::string& url,
                    const std::map<std::string, std::string>& headers,
                    const std::string& body,
                    std::atomic<std::size_t>* received) {
  HttpAnswer answer;
  Collector collector{&answer, received};
  CURL* curl = curl_easy_init();
  curl_slist* list = nullptr;
  for (const auto& [name, value] : headers) {
    std::string line = name;
    line.append(": ").append(value);
    list = curl_slist_append(list, line.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
  if (!body.empty()) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, TakeBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &collector);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, TakeHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer);
  answer.whole = curl_easy_perform(curl) == CURLE_OK;
  long status = 0;  // NOLINT(google-runtime-int): curl's type
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  answer.status = answer.whole ? static_cast<int>(status) : 0;
  curl_slist_free_all(list);
  curl_easy_cleanup(curl);
  return answer;
}

HttpAnswer GetHttp(const std::string& url) {
  return CallHttp("GET", url, {}, "");
}

bool WaitForStatus(const std::string& url, int status) {
  for (int i = 0; i < kPolls; ++i) {
    if (GetHttp(url).status == status) {
      return true;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return false;
}

}  // namespace hornbeamcleat
