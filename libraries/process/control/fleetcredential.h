#pragma once

#include <string>
#include <string_view>

namespace Hyssophall {

/// The secret that the VMs of a fleet share, as it is compared with what a caller shows.
class FleetCredential
{
public:
    /// Key of the gRPC metadata that carries the secret.
    static constexpr const char *metadataKey = "hyssophall-fleet";

    explicit FleetCredential(std::string secret);

    /// Whether a caller showed this secret. Takes equal time for all values of one length. An empty secret admits nobody.
    bool admits(std::string_view shown) const;

    const std::string &secret() const;

private:
    const std::string ownSecret;
};

} // namespace Hyssophall
