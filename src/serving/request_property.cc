#include "hornbeamcleat/serving/request_property.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <bit>

#include "hornbeamcleat/base/hash.h"

namespace hornbeamcleat {
namespace {

constexpr std::uint64_t kKindMask = 0xF;

std::uint64_t MakeCode(PropertyKind kind, std::uint64_t hash) {
  return (hash & ~kKindMask) | static_cast<std::uint64_t>(kind);
}

const char* KindName(PropertyKind kind) {
  switch (kind) {
    case PropertyKind::kContent:
      return "content";
    case PropertyKind::kPart:
      return "part";
    case PropertyKind::kPath:
      return "path";
    case PropertyKind::kPair:
      return "pair";
    case PropertyKind::kSize:
      return "size";
    case PropertyKind::kKey:
      return "key";
    case PropertyKind::kModel:
      return "model";
    case PropertyKind::kTriple:
      return "triple";
  }
  return "unknown";
}

// Code of several properties, in any order.
template <std::size_t kCount>
std::uint64_t CombinedCode(PropertyKind kind,
                           std::array<std::uint64_t, kCount> codes) {
  std::sort(codes.begin(), codes.end());
  return MakeCode(
      kind, Hash64(std::string_view(reinterpret_cast<const char*>(codes.data()),
                                    sizeof(codes))));
}

}  // namespace

RequestProperty::RequestProperty(PropertyKind kind, std::string_view value)
    : code_(MakeCode(kind, Hash64(value, static_cast<std::uint64_t>(kind)))) {}

RequestProperty RequestProperty::FromCode(std::uint64_t code) {
  RequestProperty property;
  property.code_ = code;
  return property;
}

RequestProperty RequestProperty::PairOf(RequestProperty a, RequestProperty b) {
  return FromCode(CombinedCode<2>(PropertyKind::kPair, {a.code_, b.code_}));
}

RequestProperty RequestProperty::TripleOf(RequestProperty a, RequestProperty b,
                                          RequestProperty c) {
  return FromCode(
      CombinedCode<3>(PropertyKind::kTriple, {a.code_, b.code_, c.code_}));
}

bool RequestProperty::IsKnown() const {
  return (code_ & kKindMask) < kPropertyKinds;
}

PropertyKind RequestProperty::Kind() const {
  return static_cast<PropertyKind>(code_ & kKindMask);
}

std::string RequestProperty::ToString() const {
  return fmt::format("{}:{:016x}", KindName(Kind()), code_);
}

RequestProperty SizeProperty(std::string_view unit, std::uint64_t amount) {
  return {PropertyKind::kSize,
          fmt::format("{}/{}", unit, std::bit_width(amount))};
}

void AddSizes(std::string_view unit, std::uint64_t amount,
              std::vector<RequestProperty>* properties) {
  properties->push_back(SizeProperty(unit, amount));
  properties->emplace_back(PropertyKind::kSize,
                           fmt::format("{}={}", unit, amount));
}

std::string PropertiesToString(const std::vector<RequestProperty>& properties) {
  std::string text;
  for (const RequestProperty& property : properties) {
    if (!text.empty()) {
      text += ',';
    }
    text += property.ToString();
  }
  return text;
}

}  // namespace hornbeamcleat
