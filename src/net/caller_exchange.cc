#include "src/net/caller_exchange.h"

#include <algorithm>
#include <cstring>

namespace hornbeamcleat {
namespace {

constexpr std::size_t kStreamBlockBytes = 4 * 1024;

}  // namespace

CallerExchange::CallerExchange(std::uint64_t handle, MHD_Connection* connection)
    : connection_(connection) {
  request_.handle = handle;
}

int CallerExchange::Socket() const {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

bool CallerExchange::AddBody(std::string_view bytes, std::size_t max_body) {
  if (too_large_ || request_.body.size() + bytes.size() > max_body) {
    too_large_ = true;
    request_.body.clear();
    return false;
  }
  request_.body += bytes;
  return true;
}

void CallerExchange::Deliver() {
  delivered_ = true;
  Suspend();
}

void CallerExchange::SetAnswer(const CallerAnswer& answer, bool streamed) {
  if (answered_) {
    return;
  }
  answer_ = answer;
  answered_ = true;
  streamed_ = streamed;
  Wake();
}

MHD_Result CallerExchange::QueueAnswer() {
  MHD_Response* response =
      streamed_ ? MHD_create_response_from_callback(
                      MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ReadCallback, this,
                      nullptr)
                : MHD_create_response_from_buffer(answer_.body.size(),
                                                  answer_.body.data(),
                                                  MHD_RESPMEM_MUST_COPY);
  if (response == nullptr) {
    return MHD_NO;
  }
  MHD_add_response_header(response, "Content-Type",
                          answer_.content_type.c_str());
  for (const auto& [name, value] : answer_.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result result = MHD_queue_response(
      connection_, static_cast<unsigned>(answer_.status), response);
  MHD_destroy_response(response);
  answer_.body.clear();
  return result;
}

bool CallerExchange::Write(std::string_view bytes, std::size_t max_buffered) {
  if (failed_ || ended_) {
    return false;
  }
  if (buffer_.size() - buffer_sent_ + bytes.size() > max_buffered) {
    Fail();
    return false;
  }
  if (buffer_sent_ > max_buffered) {
    buffer_.erase(0, buffer_sent_);
    buffer_sent_ = 0;
  }
  buffer_ += bytes;
  Wake();
  return true;
}

void CallerExchange::End() {
  ended_ = true;
  Wake();
}

void CallerExchange::Fail() {
  failed_ = true;
  Wake();
}

void CallerExchange::Suspend() {
  suspended_ = true;
  MHD_suspend_connection(connection_);
}

void CallerExchange::Wake() {
  if (suspended_) {
    suspended_ = false;
    MHD_resume_connection(connection_);
  }
}

ssize_t CallerExchange::Read(char* out, std::size_t max) {
  const std::size_t n = std::min(max, buffer_.size() - buffer_sent_);
  if (failed_) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (n == 0) {
    if (ended_) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    Suspend();
    return 0;
  }
  std::memcpy(out, buffer_.data() + buffer_sent_, n);
  buffer_sent_ += n;
  if (buffer_sent_ == buffer_.size()) {
    buffer_.clear();
    buffer_sent_ = 0;
  }
  return static_cast<ssize_t>(n);
}

ssize_t CallerExchange::ReadCallback(void* self, std::uint64_t, char* out,
                                     std::size_t max) {
  return static_cast<CallerExchange*>(self)->Read(out, max);
}

}  // namespace hornbeamcleat
