#pragma once

#include "process/fleet/leaseagent.h"
#include "process/fleet/servinglease.h"

#include <atomic>
#include <memory>
#include <string>

namespace Hyssophall {

/**
 * This VM's serving lease by grant of the committee "vm:<id>".
 *
 * Grants tell the voters' catalogue versions. While this VM is behind the greatest of them it doesn't renew, and a new lease serves only after
 * this VM has caught up with what its grants told.
 */
class QuorumServingLease : public ServingLease
{
public:
    QuorumServingLease(FleetContext context, std::shared_ptr<LocalLeaseVoter> voter, std::chrono::milliseconds duration);

    bool isHeld() const override;

    /// Sends what is due; run by one thread.
    void step();

    /// Gives the lease back and asks for none any more.
    void release();

private:
    FleetContext context;
    std::string name;
    std::shared_ptr<LeaseAgent> agent;
    std::atomic<bool> released = false;
    /// Epoch of the lease for which this VM had caught up; zero for none.
    std::atomic<std::uint64_t> provenEpoch = 0;
};

} // namespace Hyssophall
