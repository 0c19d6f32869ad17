#include "src/entry/resume_handle.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <vector>

#include "hornbeamcleat/base/error.h"
#include "src/base/codec.h"

namespace hornbeamcleat {
namespace {

constexpr char kStep[] = "verify resume handle";
constexpr std::size_t kMaxTextLength = 1'024;
constexpr std::size_t kTagBytes = 32;
// Maximum clock skew between the VM that issued the handle and this one.
constexpr std::chrono::minutes kMaxClockSkew(1);

std::string Tag(std::string_view bytes, std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> tag{};
  unsigned n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       tag.data(), &n);
  return std::string(reinterpret_cast<const char*>(tag.data()), n);
}

std::string ToHex(std::string_view bytes) {
  std::string text(bytes.size() * 2 + 1, '\0');
  std::size_t n = 0;
  OPENSSL_buf2hexstr_ex(text.data(), text.size(), &n,
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        bytes.size(), '\0');
  text.resize(bytes.size() * 2);
  return text;
}

std::string FromHex(std::string_view text) {
  if (text.empty() || text.size() % 2 != 0 || text.size() > kMaxTextLength) {
    throw Error(kStep, "", "the length is invalid");
  }
  std::string bytes(text.size() / 2, '\0');
  std::size_t n = 0;
  if (OPENSSL_hexstr2buf_ex(reinterpret_cast<unsigned char*>(bytes.data()),
                            bytes.size(), &n, std::string(text).c_str(),
                            '\0') != 1 ||
      n != bytes.size()) {
    throw Error(kStep, "", "the text is not hexadecimal");
  }
  return bytes;
}

}  // namespace

template <typename Archive>
void serialize(Archive& ar, ResumeHandle& handle) {
  ar(handle.id, handle.address, handle.version, handle.entry,
     handle.issued_unix_ms);
}

std::string SignHandle(const ResumeHandle& handle, std::string_view key) {
  const std::string bytes = EncodeBytes(handle);
  return ToHex(Tag(bytes, key) + bytes);
}

ResumeHandle VerifyHandle(std::string_view text, std::string_view key,
                          WallTime now, Duration life) {
  const std::string signed_bytes = FromHex(text);
  if (signed_bytes.size() <= kTagBytes) {
    throw Error(kStep, "", "the text is too short to hold a signature");
  }
  const std::string bytes = signed_bytes.substr(kTagBytes);
  const std::string tag = Tag(bytes, key);
  if (CRYPTO_memcmp(tag.data(), signed_bytes.data(), kTagBytes) != 0) {
    throw Error(kStep, "", "the signature does not match");
  }
  ResumeHandle handle = DecodeBytes<ResumeHandle>(bytes);
  const WallTime issued{std::chrono::milliseconds(handle.issued_unix_ms)};
  if (issued + life < now || issued > now + kMaxClockSkew) {
    throw Error(kStep, "",
                "the handle has expired or was issued in the future");
  }
  return handle;
}

}  // namespace hornbeamcleat
