#include "process/control/groupformation.h"

#include "process/control/replicagroup.h"

#include <algorithm>

namespace Hyssophall {

namespace {

GroupFormation::Decision bootstrapDecision(const GroupFormation::View &view)
{
    const std::size_t others = std::min(view.reachable.size(), view.groupSize - 1);
    const bool isComplete = others + 1 == view.groupSize;
    const bool isMajority = 2 * (others + 1) > view.groupSize;
    if (!isComplete && (view.mayGrow || !isMajority)) {
        return {};
    }
    GroupFormation::Decision decision;
    decision.step = GroupFormation::Step::Bootstrap;
    decision.addresses.push_back(view.ownAddress);
    std::vector<std::string> sorted = view.reachable;
    std::sort(sorted.begin(), sorted.end());
    decision.addresses.insert(decision.addresses.end(), sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(others));
    return decision;
}

bool isReachable(const GroupFormation::View &view, const ControlMessages::Replica &replica)
{
    return replica.address() == view.ownAddress || std::find(view.reachable.begin(), view.reachable.end(), replica.address()) != view.reachable.end();
}

GroupFormation::Decision joinDecision(const GroupFormation::View &view)
{
    const ControlMessages::GroupConfiguration &group = view.leader->configuration();
    if (ReplicaGroup::hasDisk(group, view.own.id(), view.own.disk_incarnation())) {
        return {};
    }
    GroupFormation::Decision decision;
    // A replica under this id with another disk has lost that disk, so its place is free.
    const bool hasPlace = ReplicaGroup::find(group, view.own.id()) != nullptr;
    if (hasPlace || static_cast<std::size_t>(group.replicas_size()) < view.groupSize) {
        decision.step = GroupFormation::Step::Join;
        return decision;
    }
    const auto lost = std::find_if(group.replicas().begin(), group.replicas().end(), [&view](const ControlMessages::Replica &replica) {
        return replica.id() != view.leader->id() && !isReachable(view, replica);
    });
    if (lost != group.replicas().end() && !view.mayGrow) {
        decision.step = GroupFormation::Step::Remove;
        decision.lostReplica = lost->id();
    }
    return decision;
}

} // namespace

GroupFormation::Decision GroupFormation::decide(const View &view)
{
    if (view.leader) {
        return joinDecision(view);
    }
    const bool isEmpty = view.own.last().index() == 0 && view.own.configuration().replicas().empty();
    if (isEmpty && view.isFirstStart && view.isFounder) {
        return bootstrapDecision(view);
    }
    return {};
}

} // namespace Hyssophall
