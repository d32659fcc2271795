#include "process/control/groupformation.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

using Step = GroupFormation::Step;

GroupFormation::View emptyView()
{
    GroupFormation::View view;
    view.own.set_id("core-1");
    view.own.set_disk_incarnation(11);
    view.ownAddress = "10.0.0.1:7000";
    view.isFirstStart = true;
    view.isFounder = true;
    view.groupSize = 5;
    return view;
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

// Guards against two groups, and against a group too small for the losses that it must bear.
CATCH_TEST_CASE("Only the founder forms the group, of its whole size while VMs may still come", "[control]")
{
    GroupFormation::View view = emptyView();
    view.reachable = addresses(2, 4);
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Wait);
    view.reachable = addresses(2, 6);
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Bootstrap);
    CATCH_CHECK(GroupFormation::decide(view).addresses.size() == 5);
    view.isFounder = false;
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Wait);
    view.isFounder = true;
    view.isFirstStart = false;
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Wait);
    view.isFirstStart = true;
    view.mayGrow = false;
    view.reachable = addresses(2, 3);
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Bootstrap);
    view.reachable = addresses(2, 2);
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Wait);
}

// Guards against a VM that lost its disk and votes as if it remembered, and against removing replicas that are there.
CATCH_TEST_CASE("An empty disk takes its own place, a new VM that of a lost one", "[control]")
{
    GroupFormation::View view = emptyView();
    view.leader = leaderOf(5);
    view.reachable = addresses(2, 6);
    view.mayGrow = false;
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Wait);
    view.reachable = addresses(2, 5);
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Remove);
    CATCH_CHECK(GroupFormation::decide(view).lostReplica == "core-6");
    view.leader = leaderOf(4);
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Join);
    view.leader = leaderOf(5);
    view.own.set_id("core-3");
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Join);
    view.own.set_disk_incarnation(103);
    CATCH_CHECK(GroupFormation::decide(view).step == Step::Wait);
}
