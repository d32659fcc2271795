#include "process/control/fleetcredential.h"

#include <array>
#include <cstdint>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <utility>

namespace Hyssophall {

FleetCredential::FleetCredential(std::string secret)
    : ownSecret(std::move(secret))
{
}

bool FleetCredential::admits(std::string_view shown) const
{
    // Hashes have equal lengths, so that the comparison doesn't tell the secret's length.
    std::array<std::uint8_t, 32> ownHash{};
    std::array<std::uint8_t, 32> shownHash{};
    const bool hashed = gnutls_hash_fast(GNUTLS_DIG_SHA256, this->ownSecret.data(), this->ownSecret.size(), ownHash.data()) == 0
        && gnutls_hash_fast(GNUTLS_DIG_SHA256, shown.data(), shown.size(), shownHash.data()) == 0;
    return hashed && !this->ownSecret.empty() && gnutls_memcmp(ownHash.data(), shownHash.data(), ownHash.size()) == 0;
}

const std::string &FleetCredential::secret() const
{
    return this->ownSecret;
}

} // namespace Hyssophall
