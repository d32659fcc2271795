#pragma once

#include "process/hooks.h"
#include "relay.pb.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall {

namespace RelayMessages = hyssophall::relay::v1;

/// The other VMs of the fleet that accept forwarded requests, as relays report them. Thread-safe.
class VmDirectory
{
public:
    struct Vm {
        std::string id;
        std::string failureDomain;
        /// Address of its forwarding service.
        std::string host;
        std::uint16_t port = 0;
    };

    VmDirectory(std::string ownId, std::string ownFailureDomain, RandomSource random);

    /// Applies the VMs in an update of a relay.
    void apply(const RelayMessages::Update &update);

    /// Chooses a VM that reaches instances at random: one of this VM's failure domain if there is any, otherwise one of @p instanceDomain, otherwise
    /// any. Nothing if there is none apart from @p excluded and those that are avoided.
    std::optional<Vm> choose(const std::string &instanceDomain, const std::set<std::string> &excluded, SteadyTime now) const;

    /// Failure domain whose instances are the nearest for a forwarded request: this VM's own if a VM there can be chosen, otherwise that of a VM chosen
    /// at random. Empty if there is no VM to choose.
    std::string nearestFailureDomain(SteadyTime now) const;

    /// Doesn't choose a VM for a second, since it didn't respond or accept a request.
    void avoid(const std::string &id, SteadyTime now);

    /// Number of VMs that can be chosen.
    std::size_t count(SteadyTime now) const;

private:
    struct Entry {
        Vm vm;
        SteadyTime avoidedUntil;
    };

    std::vector<Vm> usable(const std::set<std::string> &excluded, SteadyTime now) const;
    const Vm &pick(const std::vector<Vm> &vms) const;

    const std::string ownId;
    const std::string ownFailureDomain;
    const RandomSource random;
    mutable std::mutex mutex;
    std::map<std::string, Entry> entries;
};

} // namespace Hyssophall
