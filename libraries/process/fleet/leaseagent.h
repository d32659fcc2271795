#pragma once

#include "process/fleet/leaseholder.h"
#include "process/fleet/leasevoter.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/// A voter shared by the fleet's calls and this VM's own requests. Thread-safe.
class LocalLeaseVoter
{
public:
    LocalLeaseVoter(FleetContext context, LeaseVoter::Options options);

    /// The hook for FleetHandlers::grantLeases.
    FleetMessages::GrantLeasesReply grant(const FleetMessages::GrantLeasesRequest &request);

private:
    FleetContext context;
    std::mutex mutex;
    LeaseVoter voter;
};

/// Drives a LeaseHolder: sends its batches, takes this VM's own vote locally and hands in the answers. Thread-safe.
class LeaseAgent : public std::enable_shared_from_this<LeaseAgent>
{
public:
    static std::shared_ptr<LeaseAgent> create(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, std::chrono::milliseconds duration);

    /// Sends what is due. Called every few tens of milliseconds by one thread.
    void step(const std::vector<std::string> &wantedNames);

    std::optional<std::uint64_t> heldEpoch(const std::string &name) const;
    std::vector<std::string> heldNames() const;

    /// Greatest catalogue version that voters named.
    std::uint64_t greatestCatalogueVersion() const;

private:
    LeaseAgent(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, std::chrono::milliseconds duration);
    void send(const LeaseHolder::Outgoing &outgoing);
    void takeReply(const LeaseHolder::Outgoing &outgoing, const FleetMessages::GrantLeasesReply &reply);

    FleetContext context;
    std::shared_ptr<LocalLeaseVoter> voter;
    std::chrono::milliseconds callTimeout;
    mutable std::mutex mutex;
    LeaseHolder holder;
    std::uint64_t heardVersion = 0;
};

} // namespace Hyssophall
