#ifndef HORNBEAMCLEAT_SERVING_REQUEST_PROPERTY_H_
#define HORNBEAMCLEAT_SERVING_REQUEST_PROPERTY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamcleat {

/// What requests can have in common. Lower values are more specific.
enum class PropertyKind : std::uint8_t {
  kContent,  ///< path, key and body
  kPart,     ///< part of the prompt, at any place
  kPath,     ///< host and path, without the query string
  kPair,     ///< two of the parts, the key and the model
  kSize,     ///< size of the prompt, answer or body, or order of magnitude
  kKey,      ///< API key
  kModel,    ///< model that the request names
  kTriple,   ///< three of the parts, the key and the model
};
inline constexpr int kPropertyKinds = 8;

/// Identifies a property by its kind and a hash of its value. The same on all
/// VMs.
class RequestProperty {
 public:
  RequestProperty() = default;
  RequestProperty(PropertyKind kind, std::string_view value);

  /// Restores a property from its code.
  static RequestProperty FromCode(std::uint64_t code);

  /// Combines two properties of one request, in any order.
  static RequestProperty PairOf(RequestProperty a, RequestProperty b);

  /// Combines three properties of one request, in any order.
  static RequestProperty TripleOf(RequestProperty a, RequestProperty b,
                                  RequestProperty c);

  /// Whether this build knows the kind; codes come from other builds, too.
  bool IsKnown() const;
  PropertyKind Kind() const;
  /// Number that identifies the property, for messages and hashes.
  std::uint64_t Code() const { return code_; }
  /// Text for logs, "KIND:HEX".
  std::string ToString() const;

  bool operator==(const RequestProperty&) const = default;
  bool operator<(const RequestProperty& other) const {
    return code_ < other.code_;
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(code_);
  }

 private:
  std::uint64_t code_ = 0;  ///< hash; the lowest bits are the kind
};

/// Hash for unordered containers.
struct RequestPropertyHash {
  std::size_t operator()(RequestProperty property) const {
    return property.Code();
  }
};

/// Returns the property of an amount: its order of magnitude, to the base 2.
/// @param unit tells amounts of different kinds apart
RequestProperty SizeProperty(std::string_view unit, std::uint64_t amount);

/// Adds an amount and its order of magnitude.
void AddSizes(std::string_view unit, std::uint64_t amount,
              std::vector<RequestProperty>* properties);

/// Returns the text of several properties for logs.
std::string PropertiesToString(const std::vector<RequestProperty>& properties);

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SERVING_REQUEST_PROPERTY_H_
