#include "process/control/groupformation.h"

#include "process/control/replicagroup.h"

#include <algorithm>

namespace Hyssophall {

namespace {

GroupFormation::Decision bootstrapDecision(const GroupFormation::Observation &observation)
{
    const std::size_t others = std::min(observation.reachable.size(), observation.groupSize - 1);
    const bool isComplete = others + 1 == observation.groupSize;
    const bool isMajority = 2 * (others + 1) > observation.groupSize;
    if (!isComplete && (observation.mayMoreVmsJoin || !isMajority)) {
        return {};
    }
    GroupFormation::Decision decision;
    decision.step = GroupFormation::Step::Bootstrap;
    decision.addresses.push_back(observation.ownAddress);
    std::vector<std::string> sorted = observation.reachable;
    std::sort(sorted.begin(), sorted.end());
    decision.addresses.insert(decision.addresses.end(), sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(others));
    return decision;
}

bool isReachable(const GroupFormation::Observation &observation, const ControlMessages::Replica &replica)
{
    return replica.address() == observation.ownAddress
        || std::find(observation.reachable.begin(), observation.reachable.end(), replica.address()) != observation.reachable.end();
}

GroupFormation::Decision joinDecision(const GroupFormation::Observation &observation)
{
    const ControlMessages::GroupConfiguration &group = observation.leader->configuration();
    if (ReplicaGroup::hasDisk(group, observation.own.id(), observation.own.disk_incarnation())) {
        return {};
    }
    GroupFormation::Decision decision;
    // A replica in the group with this VM's id and another disk is this VM before it lost that disk, so this VM replaces it.
    const bool hasPlace = ReplicaGroup::find(group, observation.own.id()) != nullptr;
    if (hasPlace || static_cast<std::size_t>(group.replicas_size()) < observation.groupSize) {
        decision.step = GroupFormation::Step::Join;
        return decision;
    }
    const auto lost = std::find_if(group.replicas().begin(), group.replicas().end(), [&observation](const ControlMessages::Replica &replica) {
        return replica.id() != observation.leader->id() && !isReachable(observation, replica);
    });
    if (lost != group.replicas().end() && !observation.mayMoreVmsJoin) {
        decision.step = GroupFormation::Step::Remove;
        decision.lostReplica = lost->id();
    }
    return decision;
}

} // namespace

GroupFormation::Decision GroupFormation::decide(const Observation &observation)
{
    if (observation.leader) {
        return joinDecision(observation);
    }
    const bool isEmpty = observation.own.last().index() == 0 && observation.own.configuration().replicas().empty();
    if (isEmpty && observation.isFirstStart && observation.isFounder) {
        return bootstrapDecision(observation);
    }
    return {};
}

} // namespace Hyssophall
