#include "process/relay/instancetable.h"

#include "unit/process/relay/registrations.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using HyssophallTest::registrationOf;

// Guards against late, repeated and reordered registrations that bring back what has ended.
CATCH_TEST_CASE("A registration counts only when it is later in the same life or of a later life", "[relay][leaving-upstream]")
{
    InstanceTable table;
    CATCH_CHECK(table.take(registrationOf("i-1", 100, 3)).size() == 1);
    CATCH_CHECK(table.take(registrationOf("i-1", 100, 3)).empty());
    CATCH_CHECK(table.take(registrationOf("i-1", 100, 2)).empty());
    RelayMessages::Registration draining = registrationOf("i-1", 100, 4);
    draining.set_state(RelayMessages::REGISTRATION_STATE_DRAINING);
    CATCH_CHECK(table.take(draining).size() == 1);
    RelayMessages::Registration gone = registrationOf("i-1", 100, 0);
    gone.set_state(RelayMessages::REGISTRATION_STATE_GONE);
    CATCH_CHECK(table.take(gone).size() == 1);
    CATCH_CHECK(table.take(registrationOf("i-1", 100, 9)).empty());
    // It starts again under the same id and counts anew.
    CATCH_CHECK(table.take(registrationOf("i-1", 200, 1)).size() == 1);
    CATCH_CHECK(table.find("i-1")->state() == RelayMessages::REGISTRATION_STATE_READY);
    CATCH_CHECK(table.take(draining).empty());
}

// Guards against requests to an address whose former holder is still believed to be there.
CATCH_TEST_CASE("A later life at an address ends the earlier one, and a late message of the earlier one changes nothing", "[relay]")
{
    InstanceTable table;
    table.take(registrationOf("i-old", 100, 1, 8080));
    const std::vector<RelayMessages::Registration> changed = table.take(registrationOf("i-new", 200, 1, 8080));
    CATCH_REQUIRE(changed.size() == 2);
    CATCH_CHECK(table.find("i-old")->state() == RelayMessages::REGISTRATION_STATE_GONE);
    CATCH_CHECK(table.take(registrationOf("i-old", 100, 2, 8080)).empty());
    CATCH_CHECK(table.find("i-new")->state() == RelayMessages::REGISTRATION_STATE_READY);
    CATCH_CHECK(InstanceTable::handleOf(changed[0]) != InstanceTable::handleOf(changed[1]));
}
