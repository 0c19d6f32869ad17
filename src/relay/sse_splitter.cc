#include "src/relay/sse_splitter.h"

#include <algorithm>
#include <utility>

namespace hornbeamcleat {
namespace {

/// Longest line that can hold an id. A longer one gives the event an empty id,
/// from which no target can resume.
constexpr std::size_t kMaxIdLineBytes = 1'024;

}  // namespace

std::string SseSplitter::Feed(std::string_view bytes) {
  const std::size_t n = Scan(bytes);
  if (n == 0) {
    pending_.append(bytes);
    return {};
  }
  std::string whole = std::move(pending_);
  whole.append(bytes.substr(0, n));
  pending_ = bytes.substr(n);
  return whole;
}

void SseSplitter::DropPartial() {
  pending_.clear();
  partial_bytes_ = 0;
  line_.clear();
  is_inside_line_ = false;
  is_after_return_ = false;
  has_crlf_ = false;
  is_at_boundary_ = false;
  has_fields_ = false;
  event_id_.reset();
}

std::string SseSplitter::TakeRest() { return std::exchange(pending_, {}); }

std::size_t SseSplitter::Scan(std::string_view bytes) {
  std::size_t boundary = 0;
  std::size_t at = 0;
  while (at < bytes.size()) {
    if (std::exchange(is_after_return_, false) && bytes[at] == '\n') {
      ++at;
      has_crlf_ = true;
      if (is_at_boundary_) {
        boundary = at;
      }
      continue;
    }
    const std::size_t end =
        std::min(bytes.find_first_of("\r\n", at), bytes.size());
    AddToLine(bytes.substr(at, end - at));
    at = end;
    if (end < bytes.size()) {
      ++at;
      is_after_return_ = bytes[end] == '\r';
      if (EndLine()) {
        boundary = at;
      }
    }
  }
  partial_bytes_ =
      bytes.size() - boundary + (boundary > 0 ? 0 : partial_bytes_);
  return boundary;
}

void SseSplitter::AddToLine(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  is_at_boundary_ = false;
  if (!std::exchange(is_inside_line_, true)) {
    const bool is_comment = bytes.front() == ':';
    has_fields_ = has_fields_ || !is_comment;
  }
  // One byte above the limit marks a line that is too long.
  line_.append(bytes.substr(0, kMaxIdLineBytes + 1 - line_.size()));
}

bool SseSplitter::EndLine() {
  if (!is_inside_line_) {
    is_at_boundary_ = true;
    if (std::exchange(has_fields_, false)) {
      ++event_count_;
    }
    if (event_id_.has_value()) {
      last_event_id_ = *std::exchange(event_id_, std::nullopt);
    }
    return true;
  }
  constexpr std::string_view kIdField = "id:";
  if (line_.starts_with(kIdField)) {
    std::string_view value = line_;
    value.remove_prefix(kIdField.size());
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    event_id_ = line_.size() > kMaxIdLineBytes ? std::string_view() : value;
  }
  line_.clear();
  is_inside_line_ = false;
  return false;
}

}  // namespace hornbeamcleat
