#include "process/forwarding/vmdirectory.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <random>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime now{1h};

void addVm(RelayMessages::Update &update, const std::string &id, const std::string &failureDomain, bool isPartitioned = false, bool isPresent = true)
{
    RelayMessages::VmPresence &presence = *update.add_vms();
    presence.set_vm(id);
    presence.set_present(isPresent);
    presence.set_failure_domain(failureDomain);
    presence.set_forwarding_host(id);
    presence.set_forwarding_port(7000);
    presence.set_partitioned_from_instances(isPartitioned);
}

struct DirectoryFixture {
    std::mt19937_64 random{5};
    VmDirectory directory{"vm-0", "a", [this] { return this->random(); }};
};

} // namespace

// Guards against all partitioned VMs loading one VM, and against bytes between failure domains while a VM of the same one is there.
CATCH_TEST_CASE("Forwarded requests spread over the VMs of the own failure domain that reach instances", "[forwarding][lost-path]")
{
    DirectoryFixture fixture;
    RelayMessages::Update update;
    addVm(update, "vm-0", "a");
    for (const char *id : {"vm-1", "vm-2", "vm-3"}) {
        addVm(update, id, "a");
    }
    addVm(update, "vm-4", "a", true);
    addVm(update, "vm-5", "b");
    fixture.directory.apply(update);
    CATCH_CHECK(fixture.directory.nearestFailureDomain(now) == "a");
    std::map<std::string, int> chosen;
    for (int number = 0; number < 300; ++number) {
        ++chosen[fixture.directory.choose("b", {}, now).value().id];
    }
    CATCH_CHECK(chosen.size() == 3);
    for (const std::pair<const std::string, int> &entry : chosen) {
        CATCH_CHECK(entry.second > 60);
    }
}

// Guards against a failure domain that is partitioned as a whole, whose requests would cross to a third one, or find no VM at all.
CATCH_TEST_CASE("Without a VM in the own failure domain, one of the instance's is chosen, then any", "[forwarding][lost-path]")
{
    DirectoryFixture fixture;
    RelayMessages::Update update;
    addVm(update, "vm-1", "b");
    addVm(update, "vm-2", "c");
    fixture.directory.apply(update);
    for (int number = 0; number < 20; ++number) {
        CATCH_CHECK(fixture.directory.choose("c", {}, now).value().id == "vm-2");
    }
    CATCH_CHECK(fixture.directory.choose("c", {"vm-2"}, now).value().id == "vm-1");
    CATCH_CHECK(!fixture.directory.choose("c", {"vm-1", "vm-2"}, now));
    // A VM that didn't respond is left alone for a while.
    fixture.directory.avoid("vm-2", now);
    CATCH_CHECK(fixture.directory.choose("c", {}, now).value().id == "vm-1");
    CATCH_CHECK(fixture.directory.choose("c", {}, now + 2s).value().id == "vm-2");
    RelayMessages::Update ended;
    addVm(ended, "vm-1", "b", false, false);
    fixture.directory.apply(ended);
    CATCH_CHECK(fixture.directory.count(now + 2s) == 1);
    // A new relay lists all VMs; those that it doesn't list are gone.
    RelayMessages::Update all;
    all.set_all_vms(true);
    addVm(all, "vm-7", "b");
    fixture.directory.apply(all);
    CATCH_CHECK(fixture.directory.count(now + 2s) == 1);
    CATCH_CHECK(fixture.directory.nearestFailureDomain(now) == "b");
}
