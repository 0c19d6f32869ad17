#ifndef HORNBEAMCLEAT_SRC_MEMBER_HMAC_SHA256_H_
#define HORNBEAMCLEAT_SRC_MEMBER_HMAC_SHA256_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace hornbeamcleat {

/// Signs datagrams with HMAC-SHA256 under a shared key. Not thread-safe.
class HmacSha256 {
 public:
  /// Length of a signature in bytes.
  static constexpr std::size_t kSize = 32;

  /// @throws Error with step "sign" if the library rejects the key
  static std::unique_ptr<HmacSha256> Make(const std::string& key);

  virtual ~HmacSha256() = default;

  /// Returns the signature of `bytes`, kSize bytes long.
  virtual std::string Sign(std::string_view bytes) = 0;

  /// Whether `signature` is that of `bytes`. Compares in constant time.
  virtual bool Verify(std::string_view bytes, std::string_view signature) = 0;
};

}  // namespace hornbeamcleat

#endif  // HORNBEAMCLEAT_SRC_MEMBER_HMAC_SHA256_H_
