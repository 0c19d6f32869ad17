#include "src/serving/property_combinations.h"

#include <algorithm>

namespace hornbeamcleat {
namespace {

bool IsCombined(PropertyKind kind) {
  return kind == PropertyKind::kPart || kind == PropertyKind::kKey ||
         kind == PropertyKind::kModel;
}

/// Properties of one request that are combined with each other.
class Combined {
 public:
  explicit Combined(const std::vector<RequestProperty>& properties) {
    std::size_t parts = 0;
    for (const RequestProperty& property : properties) {
      const bool is_part = property.Kind() == PropertyKind::kPart;
      if (!IsCombined(property.Kind()) || size_ == all_.size() ||
          (is_part && parts == PropertyCombinations::kMaxParts)) {
        continue;
      }
      parts += is_part ? 1 : 0;
      all_[size_++] = property;
    }
  }

  /// Calls `use` for each two of the properties.
  template <typename Use>
  void ForEachTwo(Use use) const {
    for (std::size_t i = 0; i < size_; ++i) {
      for (std::size_t j = i + 1; j < size_; ++j) {
        use(all_[i], all_[j]);
      }
    }
  }

  /// Calls `use` for each three of the properties.
  template <typename Use>
  void ForEachThree(Use use) const {
    for (std::size_t i = 0; i < size_; ++i) {
      for (std::size_t j = i + 1; j < size_; ++j) {
        for (std::size_t k = j + 1; k < size_; ++k) {
          use(all_[i], all_[j], all_[k]);
        }
      }
    }
  }

 private:
  static constexpr std::size_t kOthers = 2;  // key and model

  std::array<RequestProperty, PropertyCombinations::kMaxParts + kOthers> all_;
  std::size_t size_ = 0;
};

}  // namespace

std::vector<RequestProperty> PropertyCombinations::OnLost(
    const std::vector<RequestProperty>& properties, Time now) {
  constexpr int kPairsOfTriple = 3;
  std::vector<RequestProperty> all = properties;
  const Combined combined(properties);
  int pairs_lost = 0;
  combined.ForEachTwo([&](RequestProperty a, RequestProperty b) {
    if (WasLost(a) && WasLost(b)) {
      all.push_back(RequestProperty::PairOf(a, b));
      pairs_lost += WasLost(all.back()) ? 1 : 0;
    }
  });
  if (pairs_lost >= kPairsOfTriple) {
    combined.ForEachThree(
        [&](RequestProperty a, RequestProperty b, RequestProperty c) {
          if (WasLost(RequestProperty::PairOf(a, b)) &&
              WasLost(RequestProperty::PairOf(a, c)) &&
              WasLost(RequestProperty::PairOf(b, c))) {
            all.push_back(RequestProperty::TripleOf(a, b, c));
          }
        });
  }
  for (const RequestProperty& property : all) {
    Remember(property, now);
  }
  return all;
}

void PropertyCombinations::Remember(RequestProperty property, Time now) {
  if ((IsCombined(property.Kind()) || property.Kind() == PropertyKind::kPair) &&
      (lost_at_.size() < kMaxLost || WasLost(property))) {
    lost_at_[property] = now;
  }
}

void PropertyCombinations::ForEach(
    const std::vector<RequestProperty>& properties, bool with_triples,
    const std::function<void(RequestProperty)>& use) {
  const Combined combined(properties);
  combined.ForEachTwo([&use](RequestProperty a, RequestProperty b) {
    use(RequestProperty::PairOf(a, b));
  });
  if (with_triples) {
    combined.ForEachThree(
        [&use](RequestProperty a, RequestProperty b, RequestProperty c) {
          use(RequestProperty::TripleOf(a, b, c));
        });
  }
}

void PropertyCombinations::Expire(Time time) {
  std::erase_if(lost_at_,
                [&](const auto& item) { return item.second <= time; });
}

}  // namespace hornbeamcleat
