#pragma once

#include "process/control/changeproposer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * Decides how a control VM joins the control group without an operator. At the first start of the fleet it forms the group; later it replaces
 * its own lost disk or a lost VM. ControlNode calls decide() periodically and carries out the result. Has no state.
 *
 * Only the VM with the lowest address among the seeds may form the group. All VMs are given the same seeds, so two VMs can't both form one.
 */
class GroupFormation
{
public:
    enum class Step {
        /// Nothing to do now.
        Wait,
        /// Form the group of Decision::addresses.
        Bootstrap,
        /// Remove the lost replica Decision::lostReplica, so that this VM can join in its place.
        Remove,
        /// Join as a learner. The leader makes it a voter once it holds all committed entries.
        Join,
    };

    /// What this VM knows about itself and the group.
    struct Observation {
        ControlMessages::StatusReply own;
        std::string ownAddress;
        /// Whether the settings allow a new group: the fleet starts for the first time.
        bool isFirstStart = false;
        /// Whether this VM has the lowest address among the seeds.
        bool isFounder = false;
        /// Number of replicas of the complete group.
        std::size_t groupSize = 1;
        /// Addresses of the other control VMs that replied to a status request.
        std::vector<std::string> reachable;
        /// Whether more VMs may join because they are still starting. While true, the group forms only if it is complete, and no replica is treated as lost.
        bool mayMoreVmsJoin = true;
        /// State of the group's leader, if one replied.
        std::optional<ControlMessages::StatusReply> leader;
    };

    struct Decision {
        Step step = Step::Wait;
        std::vector<std::string> addresses;
        std::string lostReplica;
    };

    static Decision decide(const Observation &observation);
};

} // namespace Hyssophall
