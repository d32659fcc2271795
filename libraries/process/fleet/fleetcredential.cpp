#include "process/fleet/fleetcredential.h"

#include <gnutls/gnutls.h>

namespace Hyssophall {

FleetCredential::FleetCredential(std::string_view secret)
    : hash(hashKey(secret))
    , isEmpty(secret.empty())
{
}

bool FleetCredential::matches(std::string_view presented) const
{
    const KeyHash presentedHash = hashKey(presented);
    return !this->isEmpty && gnutls_memcmp(this->hash.data(), presentedHash.data(), this->hash.size()) == 0;
}

} // namespace Hyssophall
