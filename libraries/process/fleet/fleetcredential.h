#pragma once

#include "process/keyhash.h"

#include <string>
#include <string_view>

namespace Hyssophall {

/// The secret that all VMs of a fleet share. Only its SHA-256 is kept for comparison.
class FleetCredential
{
public:
    /// Name of the gRPC metadata that carries the secret.
    static constexpr const char *metadataName = "hyssophall-fleet";

    explicit FleetCredential(std::string_view secret);

    /// Compares in constant time; the hash hides the length of the secret too. An empty secret admits nobody.
    bool matches(std::string_view presented) const;

private:
    KeyHash hash;
    bool isEmpty;
};

} // namespace Hyssophall
