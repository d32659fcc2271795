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

/// This VM's LeaseVoter, shared by calls of other VMs and this VM's own requests. Thread-safe.
class LocalLeaseVoter
{
public:
    LocalLeaseVoter(FleetContext context, LeaseVoter::Options options);

    /// Decides on a batch of requests. Used as FleetHandlers::grantLeases.
    FleetMessages::GrantLeasesReply grant(const FleetMessages::GrantLeasesRequest &request);

private:
    FleetContext context;
    std::mutex mutex;
    LeaseVoter voter;
};

/// Runs a LeaseHolder: sends its batches to the voters, calls this VM's own voter directly, and passes on the replies. Thread-safe.
class LeaseAgent : public std::enable_shared_from_this<LeaseAgent>
{
public:
    static std::shared_ptr<LeaseAgent> create(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, std::chrono::milliseconds duration);

    /// Sends the requests that are due for the leases on @p wantedNames and releases all others. Called every 20 ms by one thread of QuorumNode.
    void step(const std::vector<std::string> &wantedNames);

    std::optional<std::uint64_t> heldEpoch(const std::string &name) const;
    std::vector<std::string> heldNames() const;

    /// Greatest catalogue version in the voters' replies.
    std::uint64_t greatestCatalogueVersion() const;

private:
    LeaseAgent(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, std::chrono::milliseconds duration);
    void send(const LeaseHolder::Outgoing &outgoing);
    void handleReply(const LeaseHolder::Outgoing &outgoing, const FleetMessages::GrantLeasesReply &reply);

    FleetContext context;
    std::shared_ptr<LocalLeaseVoter> voter;
    std::chrono::milliseconds callTimeout;
    mutable std::mutex mutex;
    LeaseHolder holder;
    std::uint64_t greatestVersion = 0;
};

} // namespace Hyssophall
