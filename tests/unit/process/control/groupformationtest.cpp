#include "process/control/groupformation.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

using Step = GroupFormation::Step;

GroupFormation::Observation emptyObservation()
{
    GroupFormation::Observation observation;
    observation.own.set_id("core-1");
    observation.own.set_disk_incarnation(11);
    observation.ownAddress = "10.0.0.1:7000";
    observation.isFirstStart = true;
    observation.isFounder = true;
    observation.groupSize = 5;
    return observation;
}

ControlMessages::StatusReply leaderOf(std::size_t replicas)
{
    ControlMessages::StatusReply leader;
    leader.set_id("core-2");
    leader.set_role("leader");
    for (std::size_t number = 2; number < replicas + 2; ++number) {
        ControlMessages::Replica &replica = *leader.mutable_configuration()->add_replicas();
        replica.set_id("core-" + std::to_string(number));
        replica.set_address("10.0.0." + std::to_string(number) + ":7000");
        replica.set_disk_incarnation(100 + number);
    }
    return leader;
}

std::vector<std::string> addresses(std::size_t first, std::size_t last)
{
    std::vector<std::string> all;
    for (std::size_t number = first; number <= last; ++number) {
        all.push_back("10.0.0." + std::to_string(number) + ":7000");
    }
    return all;
}

} // namespace

// Guards against two VMs that each form a group, and against a group with too few replicas to tolerate the configured losses.
CATCH_TEST_CASE("Only the founder forms the group, and only a complete one while more VMs may join", "[control]")
{
    GroupFormation::Observation observation = emptyObservation();
    observation.reachable = addresses(2, 4);
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Wait);
    observation.reachable = addresses(2, 6);
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Bootstrap);
    CATCH_CHECK(GroupFormation::decide(observation).addresses.size() == 5);
    observation.isFounder = false;
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Wait);
    observation.isFounder = true;
    observation.isFirstStart = false;
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Wait);
    observation.isFirstStart = true;
    observation.mayMoreVmsJoin = false;
    observation.reachable = addresses(2, 3);
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Bootstrap);
    observation.reachable = addresses(2, 2);
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Wait);
}

// Guards against a VM that lost its disk and votes as the replica that it was before, and against the removal of a replica that is reachable.
CATCH_TEST_CASE("A VM with an empty disk replaces its old replica, and a new VM replaces a lost one", "[control]")
{
    GroupFormation::Observation observation = emptyObservation();
    observation.leader = leaderOf(5);
    observation.reachable = addresses(2, 6);
    observation.mayMoreVmsJoin = false;
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Wait);
    observation.reachable = addresses(2, 5);
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Remove);
    CATCH_CHECK(GroupFormation::decide(observation).lostReplica == "core-6");
    observation.leader = leaderOf(4);
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Join);
    observation.leader = leaderOf(5);
    observation.own.set_id("core-3");
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Join);
    observation.own.set_disk_incarnation(103);
    CATCH_CHECK(GroupFormation::decide(observation).step == Step::Wait);
}
