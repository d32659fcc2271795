#pragma once

#include "process/keyhash.h"

#include <string>
#include <string_view>

namespace Hyssophall {

/// Checks the secret that all VMs of a fleet share. Stores only its SHA-256 hash.
class FleetCredential
{
public:
    /// Key of the gRPC metadata entry that holds the secret.
    static constexpr const char *metadataName = "hyssophall-fleet";

    explicit FleetCredential(std::string_view secret);

    /// Compares hashes in constant time, which reveals neither the secret nor its length. An empty secret matches nothing.
    bool matches(std::string_view presented) const;

private:
    KeyHash hash;
    bool isEmpty;
};

} // namespace Hyssophall
