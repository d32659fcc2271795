#include "process/relay/relaychoice.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

constexpr SteadyTime start{std::chrono::hours(1)};
const RandomSource fixedRandom = [] { return 1; };

RelayMessages::RelayAddress relayOf(const std::string &address, const std::string &failureDomain, bool isReachable = true)
{
    RelayMessages::RelayAddress relay;
    relay.set_address(address);
    relay.set_failure_domain(failureDomain);
    relay.set_in_touch(isReachable);
    return relay;
}

} // namespace

// Guards against VMs that leave a working relay again and again for one of their own failure domain that is down. Such VMs received no updates
// most of the time, so a configuration took over 2 s to come into force (run fresh-884f on nairobi).
CATCH_TEST_CASE("A VM switches to the relay of its failure domain only when that relay is known to be reachable", "[relay][config-in-force]")
{
    RelayChoice choice("c", {"far:1", "home:1"});
    choice.addOrUpdate(relayOf("far:1", "a"));
    choice.addOrUpdate(relayOf("home:1", "c", false));
    CATCH_CHECK(choice.next(start, fixedRandom) == "far:1");
    CATCH_CHECK_FALSE(choice.shouldSwitchToLocalRelay("far:1", start));
    choice.addOrUpdate(relayOf("home:1", "c", true));
    CATCH_CHECK(choice.shouldSwitchToLocalRelay("far:1", start));
    CATCH_CHECK_FALSE(choice.shouldSwitchToLocalRelay("home:1", start));
    choice.recordFailure("home:1", start);
    CATCH_CHECK_FALSE(choice.shouldSwitchToLocalRelay("far:1", start));
    CATCH_CHECK(choice.next(start, fixedRandom) == "far:1");
    CATCH_CHECK(choice.shouldSwitchToLocalRelay("far:1", start + std::chrono::seconds(1)));
}

// Guards against a VM that stays connected to a relay that is partitioned, because that relay reports all other relays as unreachable.
CATCH_TEST_CASE("A VM leaves a relay that reports all other relays as unreachable", "[relay]")
{
    RelayChoice choice("c", {"one:1", "two:1"});
    choice.addOrUpdate(relayOf("two:1", "a", false));
    CATCH_CHECK(choice.hasAlternative("one:1", start));
}

// Guards against a whole fleet that leaves its relays for one that is frozen, while the others elect a leader of the control group and none is current.
CATCH_TEST_CASE("A lost relay is no alternative to one that reaches a majority of the relays", "[relay][large-fleet]")
{
    RelayChoice choice("c", {"one:1", "two:1", "three:1"});
    const auto report = [&choice](const std::string &address, bool isReachable) {
        RelayMessages::RelayAddress relay = relayOf(address, "a", isReachable);
        relay.set_not_current(isReachable);
        choice.addOrUpdate(relay);
    };
    for (const char *address : {"two:1", "three:1", "four:1"}) {
        report(address, true);
    }
    report("lost:1", false);
    CATCH_CHECK_FALSE(choice.hasAlternative("one:1", start));
    // In the smaller part of a split, those that it doesn't reach may be current.
    report("three:1", false);
    report("four:1", false);
    CATCH_CHECK(choice.hasAlternative("one:1", start));
}

// Guards against repeated attempts to connect to a lost relay. They take up time in which the VM could receive updates from another one.
CATCH_TEST_CASE("The backoff of a relay doubles with each failure until the relay works", "[relay]")
{
    RelayChoice choice("c", {"one:1", "two:1"});
    SteadyTime now = start;
    for (const int delay : {500, 1000, 2000, 4000, 4000}) {
        choice.recordFailure("one:1", now);
        CATCH_CHECK_FALSE(choice.hasAlternative("two:1", now + std::chrono::milliseconds(delay - 1)));
        CATCH_CHECK(choice.hasAlternative("two:1", now + std::chrono::milliseconds(delay)));
        now += std::chrono::milliseconds(delay);
    }
    choice.recordSuccess("one:1");
    choice.recordFailure("one:1", now);
    CATCH_CHECK(choice.hasAlternative("two:1", now + std::chrono::milliseconds(500)));
    choice.avoid("two:1", std::chrono::seconds(9), now);
    CATCH_CHECK(choice.next(now, fixedRandom) == "one:1");
}

// Guards against VMs that leave their relays all the time while no relay is current, such as before the control group has formed: their new connections
// then keep the relays from forming it.
CATCH_TEST_CASE("A relay that is reported as not current is no alternative", "[relay][large-fleet]")
{
    RelayChoice choice("c", {"own:1", "other:1"});
    CATCH_CHECK(choice.hasAlternative("own:1", start));
    RelayMessages::RelayAddress other = relayOf("other:1", "a");
    other.set_not_current(true);
    choice.addOrUpdate(other);
    CATCH_CHECK_FALSE(choice.hasAlternative("own:1", start));
    other.set_not_current(false);
    choice.addOrUpdate(other);
    CATCH_CHECK(choice.hasAlternative("own:1", start));
}

CATCH_TEST_CASE("A relay that refuses a VM for some time is chosen last and isn't an alternative until then", "[relay][large-fleet]")
{
    RelayChoice choice("c", {"own:1", "other:1"});
    const std::chrono::milliseconds refusal(400);
    choice.recordRefusal("own:1", refusal, start);
    CATCH_CHECK(choice.refusedUntil("own:1") == start + refusal);
    CATCH_CHECK(choice.next(start, fixedRandom) == "other:1");
    CATCH_CHECK_FALSE(choice.hasAlternative("other:1", start));
    CATCH_CHECK(choice.hasAlternative("other:1", start + refusal));
}

// Guards against VMs that leave a relay in the smaller part of a split only for the other relay of that part, so that they keep the configuration from
// before the split for seconds though they reach the larger part.
CATCH_TEST_CASE("In the smaller part of a split, a VM prefers the relays that its relay doesn't reach", "[relay][config-in-force][large-fleet]")
{
    RelayChoice choice("c", {"c:1", "e:1", "a:1"});
    RelayMessages::RelayAddress otherOfPart = relayOf("e:1", "e");
    otherOfPart.set_not_current(true);
    for (const RelayMessages::RelayAddress &relay :
        {relayOf("c:1", "c"), otherOfPart, relayOf("a:1", "a", false), relayOf("b:1", "b", false), relayOf("d:1", "d", false)}) {
        choice.addOrUpdate(relay);
    }
    choice.avoid("c:1", std::chrono::seconds(3), start);
    const std::string chosen = choice.next(start, fixedRandom);
    CATCH_CHECK((chosen == "a:1" || chosen == "b:1" || chosen == "d:1"));
    // Once the larger part is known to be lost, too, the reachable one is next.
    for (const char *address : {"a:1", "b:1", "d:1"}) {
        choice.recordFailure(address, start);
    }
    CATCH_CHECK(choice.next(start, fixedRandom) == "e:1");
}

// Guards against a lost relay that is tried first by all VMs while the others elect a leader of the control group and none is current.
CATCH_TEST_CASE("A lost relay is chosen after those that are reachable and not current", "[relay][large-fleet]")
{
    RelayChoice choice("f", {"a:1", "b:1", "lost:1"});
    for (const char *address : {"a:1", "b:1"}) {
        RelayMessages::RelayAddress relay = relayOf(address, "a");
        relay.set_not_current(true);
        choice.addOrUpdate(relay);
    }
    choice.addOrUpdate(relayOf("lost:1", "e", false));
    CATCH_CHECK(choice.next(start, fixedRandom) != "lost:1");
}

// Guards against VMs that go back and forth after a split has healed: the relay of their failure domain is reachable again before it is current, and
// they leave it again because it isn't.
CATCH_TEST_CASE("A VM switches to the relay of its failure domain only once that relay is current", "[relay][large-fleet]")
{
    RelayChoice choice("c", {"a:1", "c:1"});
    choice.addOrUpdate(relayOf("a:1", "a"));
    RelayMessages::RelayAddress home = relayOf("c:1", "c");
    home.set_not_current(true);
    choice.addOrUpdate(home);
    CATCH_CHECK_FALSE(choice.shouldSwitchToLocalRelay("a:1", start));
    home.set_not_current(false);
    choice.addOrUpdate(home);
    CATCH_CHECK(choice.shouldSwitchToLocalRelay("a:1", start));
}
