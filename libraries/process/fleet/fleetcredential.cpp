#include "process/fleet/fleetcredential.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

namespace Hyssophall {

namespace {

std::array<std::uint8_t, 32> sha256(std::string_view text)
{
    std::array<std::uint8_t, 32> digest = {};
    gnutls_hash_fast(GNUTLS_DIG_SHA256, text.data(), text.size(), digest.data());
    return digest;
}

} // namespace

FleetCredential::FleetCredential(std::string_view secret)
    : hash(sha256(secret))
{
}

bool FleetCredential::matches(std::string_view presented) const
{
    const std::array<std::uint8_t, 32> presentedHash = sha256(presented);
    return gnutls_memcmp(this->hash.data(), presentedHash.data(), this->hash.size()) == 0;
}

} // namespace Hyssophall
