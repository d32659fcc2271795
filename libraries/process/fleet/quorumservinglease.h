#pragma once

#include "process/fleet/leaseagent.h"
#include "process/fleet/servinglease.h"

#include <atomic>
#include <memory>
#include <string>

namespace Hyssophall {

/**
 * This VM's serving lease, granted by the committee of the name "vm:<id>".
 *
 * Voters report their catalogue versions with each grant. While this VM's catalogue is older than the greatest of them, it doesn't renew the
 * lease. A new lease counts as held only after this VM's catalogue has reached that version.
 */
class QuorumServingLease : public ServingLease
{
public:
    QuorumServingLease(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, std::chrono::milliseconds duration);

    bool isHeld() const override;
    /// The same as isHeld(), since the lease depends on the greatest version that the voters know.
    bool isCatalogueCurrent() const override;

    /// Sends the requests that are due. Called every 20 ms by one thread of QuorumNode.
    void step();

    /// Releases the lease and requests no new one.
    void release();

private:
    FleetContext context;
    std::string name;
    std::shared_ptr<LeaseAgent> agent;
    std::atomic<bool> released = false;
    /// Epoch of the lease during which this VM's catalogue reached the greatest reported version; zero for none.
    std::atomic<std::uint64_t> upToDateEpoch = 0;
};

} // namespace Hyssophall
