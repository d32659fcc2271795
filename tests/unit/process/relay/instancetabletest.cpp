#include "process/relay/instancetable.h"

#include "unit/process/relay/registrations.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using HyssophallTest::registrationOf;

// Guards against an instance that gets requests again after it has left, because one of its registrations arrives late, twice or out of order.
CATCH_TEST_CASE("A registration is applied only when it is later in the same incarnation or of a later incarnation", "[relay][leaving-upstream]")
{
    InstanceTable table;
    CATCH_CHECK(table.apply(registrationOf("i-1", 100, 3)).size() == 1);
    CATCH_CHECK(table.apply(registrationOf("i-1", 100, 3)).empty());
    CATCH_CHECK(table.apply(registrationOf("i-1", 100, 2)).empty());
    RelayMessages::Registration draining = registrationOf("i-1", 100, 4);
    draining.set_state(RelayMessages::REGISTRATION_STATE_DRAINING);
    CATCH_CHECK(table.apply(draining).size() == 1);
    RelayMessages::Registration gone = registrationOf("i-1", 100, 0);
    gone.set_state(RelayMessages::REGISTRATION_STATE_GONE);
    CATCH_CHECK(table.apply(gone).size() == 1);
    CATCH_CHECK(table.apply(registrationOf("i-1", 100, 9)).empty());
    // The instance restarts with the same id, and its sequence begins again.
    CATCH_CHECK(table.apply(registrationOf("i-1", 200, 1)).size() == 1);
    CATCH_CHECK(table.find("i-1")->state() == RelayMessages::REGISTRATION_STATE_READY);
    CATCH_CHECK(table.apply(draining).empty());
}

// Guards against requests that are sent to an instance which has ended, at an address that another instance has taken over.
CATCH_TEST_CASE("A later incarnation at an address ends the earlier one, and a late registration of the earlier one changes nothing", "[relay]")
{
    InstanceTable table;
    table.apply(registrationOf("i-old", 100, 1, 8080));
    const std::vector<RelayMessages::Registration> changed = table.apply(registrationOf("i-new", 200, 1, 8080));
    CATCH_REQUIRE(changed.size() == 2);
    CATCH_CHECK(table.find("i-old")->state() == RelayMessages::REGISTRATION_STATE_GONE);
    CATCH_CHECK(table.apply(registrationOf("i-old", 100, 2, 8080)).empty());
    CATCH_CHECK(table.find("i-new")->state() == RelayMessages::REGISTRATION_STATE_READY);
    CATCH_CHECK(InstanceTable::handleOf(changed[0]) != InstanceTable::handleOf(changed[1]));
}
