#include "process/relay/relaychoice.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

constexpr SteadyTime start{std::chrono::hours(1)};
const RandomSource noChance = [] { return 1; };

RelayMessages::RelayAddress relayOf(const std::string &address, const std::string &failureDomain, bool inTouch = true)
{
    RelayMessages::RelayAddress relay;
    relay.set_address(address);
    relay.set_failure_domain(failureDomain);
    relay.set_in_touch(inTouch);
    return relay;
}

} // namespace

// Guards against VMs that leave a good relay again and again for one of their failure domain that is down: nairobi fresh-884f, where a
// configuration wasn't in force for over 2 s since such VMs heard nothing most of the time.
CATCH_TEST_CASE("A VM moves home only when the relay there is known to be in touch", "[relay][config-in-force]")
{
    RelayChoice choice("c", {"far:1", "home:1"});
    choice.learn(relayOf("far:1", "a"));
    choice.learn(relayOf("home:1", "c", false));
    CATCH_CHECK(choice.next(start, noChance) == "far:1");
    CATCH_CHECK_FALSE(choice.shouldMoveHome("far:1", start));
    choice.learn(relayOf("home:1", "c", true));
    CATCH_CHECK(choice.shouldMoveHome("far:1", start));
    CATCH_CHECK_FALSE(choice.shouldMoveHome("home:1", start));
    choice.noteFailure("home:1", start);
    CATCH_CHECK_FALSE(choice.shouldMoveHome("far:1", start));
    CATCH_CHECK(choice.next(start, noChance) == "far:1");
    CATCH_CHECK(choice.shouldMoveHome("far:1", start + std::chrono::seconds(1)));
}

// Guards against a VM that stays with a relay that is cut off, since that relay says that it hears no other.
CATCH_TEST_CASE("A relay that hears no other is left for another one", "[relay]")
{
    RelayChoice choice("c", {"one:1", "two:1"});
    choice.learn(relayOf("two:1", "a", false));
    CATCH_CHECK(choice.hasOther("one:1", start));
}

// Guards against attempts at a lost relay that take up the time in which others could be heard.
CATCH_TEST_CASE("A relay that fails is left alone longer each time until it works", "[relay]")
{
    RelayChoice choice("c", {"one:1", "two:1"});
    SteadyTime now = start;
    for (const int hold : {500, 1000, 2000, 4000, 4000}) {
        choice.noteFailure("one:1", now);
        CATCH_CHECK_FALSE(choice.hasOther("two:1", now + std::chrono::milliseconds(hold - 1)));
        CATCH_CHECK(choice.hasOther("two:1", now + std::chrono::milliseconds(hold)));
        now += std::chrono::milliseconds(hold);
    }
    choice.noteSuccess("one:1");
    choice.noteFailure("one:1", now);
    CATCH_CHECK(choice.hasOther("two:1", now + std::chrono::milliseconds(500)));
    choice.avoid("two:1", std::chrono::seconds(9), now);
    CATCH_CHECK(choice.next(now, noChance) == "one:1");
}
