#pragma once

#include "process/control/changeproposer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * Decides how a control VM comes into the control group without an operator: by forming it at the first start of the fleet, or by taking the
 * place of an empty disk or a lost VM later. Pure.
 *
 * Only one VM may form the group, the one with the lowest address among the seeds that all VMs were given; any other rule could form two.
 */
class GroupFormation
{
public:
    enum class Step {
        /// Nothing to do, or nothing that may be done yet.
        Wait,
        /// Form the group of these addresses.
        Bootstrap,
        /// Remove a lost replica, so that there is a place.
        Remove,
        /// Join as a learner; the leader promotes it.
        Join,
    };

    /// What this VM sees.
    struct View {
        ControlMessages::StatusReply own;
        std::string ownAddress;
        bool isFirstStart = false;
        /// Whether this VM has the lowest address among the seeds.
        bool isFounder = false;
        /// Size of the group to form.
        std::size_t groupSize = 1;
        /// Other control VMs in touch, by address.
        std::vector<std::string> reachable;
        /// Whether VMs that are still starting may turn up.
        bool mayGrow = true;
        /// State of the group's leader, if one answered.
        std::optional<ControlMessages::StatusReply> leader;
    };

    struct Decision {
        Step step = Step::Wait;
        std::vector<std::string> addresses;
        std::string lostReplica;
    };

    static Decision decide(const View &view);
};

} // namespace Hyssophall
