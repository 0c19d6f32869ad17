#include "src/member/hmac_sha256.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "hornbeamcleat/base/error.h"

namespace hornbeamcleat {
namespace {

struct FreeMac {
  void operator()(EVP_MAC* mac) const { EVP_MAC_free(mac); }
  void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
};

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

void Require(bool holds) {
  if (!holds) {
    throw Error("sign", "", "the cryptographic library returned an error");
  }
}

class OpensslHmac : public HmacSha256 {
 public:
  explicit OpensslHmac(const std::string& key)
      : mac_(EVP_MAC_fetch(nullptr, "HMAC", nullptr)) {
    Require(mac_ != nullptr);
    context_.reset(EVP_MAC_CTX_new(mac_.get()));
    Require(context_ != nullptr);
    char digest[] = "SHA256";
    const OSSL_PARAM params[] = {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
        OSSL_PARAM_construct_end()};
    Require(EVP_MAC_init(context_.get(), Bytes(key), key.size(), params) == 1);
  }

  std::string Sign(std::string_view bytes) override {
    // A null key resets the context and keeps its current key.
    Require(EVP_MAC_init(context_.get(), nullptr, 0, nullptr) == 1);
    Require(EVP_MAC_update(context_.get(), Bytes(bytes), bytes.size()) == 1);
    std::string out(kSize, '\0');
    std::size_t n = 0;
    Require(EVP_MAC_final(context_.get(),
                          reinterpret_cast<unsigned char*>(out.data()), &n,
                          out.size()) == 1);
    return out;
  }

  bool Verify(std::string_view bytes, std::string_view signature) override {
    const std::string expected = Sign(bytes);
    return signature.size() == kSize &&
           CRYPTO_memcmp(expected.data(), signature.data(), kSize) == 0;
  }

 private:
  std::unique_ptr<EVP_MAC, FreeMac> mac_;
  std::unique_ptr<EVP_MAC_CTX, FreeMac> context_;
};

}  // namespace

std::unique_ptr<HmacSha256> HmacSha256::Make(const std::string& key) {
  return std::make_unique<OpensslHmac>(key);
}

}  // namespace hornbeamcleat
