#include "lacewingferry/adapters/openssl/keyed_digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

std::string KeyedDigest(const std::string& secret, const std::string& bytes) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  const unsigned char* done =
      HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
           reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           digest, &size);
  if (done == nullptr) throw InternalError("HMAC-SHA256 failed");
  return std::string(reinterpret_cast<const char*>(digest), size);
}

bool SameDigest(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace lacewingferry
