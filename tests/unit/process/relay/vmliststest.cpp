#include "process/relay/vmlists.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <random>

using namespace Hyssophall;

namespace {

constexpr int ownRelay = 0;
constexpr int otherRelay = 1;
constexpr std::chrono::seconds expiry{20};

RelayMessages::VmPresence presenceOf(const std::string &vm, const std::string &failureDomain)
{
    RelayMessages::VmPresence presence;
    presence.set_vm(vm);
    presence.set_present(true);
    presence.set_failure_domain(failureDomain);
    presence.set_forwarding_host("10.0.0.1");
    return presence;
}

/// A relay's lists, and for each VM what it would hold if it applied all messages.
struct ListsFixture {
    void arrive(const std::string &vm, const std::string &failureDomain)
    {
        this->table.set(&ownRelay, presenceOf(vm, failureDomain), this->now);
        this->lists.vmChanged(vm);
        this->buffers[vm] = std::make_unique<UpdateBuffer>();
        RelayMessages::Update initial;
        this->lists.add({vm, failureDomain, this->buffers[vm].get()}, initial, this->now);
        this->apply(vm, initial);
    }

    void end(const std::string &vm)
    {
        this->lists.remove(*this->buffers[vm]);
        this->buffers.erase(vm);
        this->held.erase(vm);
        this->table.remove(&ownRelay, vm, this->now);
        this->lists.vmChanged(vm);
    }

    void apply(const std::string &vm, const RelayMessages::Update &update)
    {
        if (update.all_vms()) {
            this->held[vm].clear();
        }
        for (const RelayMessages::VmPresence &presence : update.vms()) {
            if (presence.vm() == vm) {
                continue;
            }
            if (VmPresenceTable::isForwardable(presence)) {
                this->held[vm][presence.vm()] = presence.failure_domain();
            } else {
                this->held[vm].erase(presence.vm());
            }
        }
    }

    void deliver()
    {
        for (const std::pair<const std::string, std::unique_ptr<UpdateBuffer>> &entry : this->buffers) {
            this->apply(entry.first, entry.second->nextMessage(SteadyTime(), {std::chrono::milliseconds(0), std::chrono::milliseconds(0)}).value());
        }
    }

    SteadyTime now = std::chrono::steady_clock::now();
    std::mt19937_64 generator{3};
    VmPresenceTable table{expiry};
    VmLists lists{this->table, [this] { return this->generator(); }};
    std::map<std::string, std::unique_ptr<UpdateBuffer>> buffers;
    std::map<std::string, std::map<std::string, std::string>> held;
};

std::string nameOf(int number)
{
    return "vm-" + std::to_string(number);
}

} // namespace

// Guards against a VM that knows no other one in its failure domain, or only VMs that have ended, when it must have its requests forwarded.
CATCH_TEST_CASE("Each VM holds a few others that can forward, some of them of its own failure domain, as VMs come and go", "[relay][forwarding]")
{
    ListsFixture fixture;
    constexpr int fleet = 120;
    for (int number = 0; number < fleet; ++number) {
        fixture.arrive(nameOf(number), number % 2 == 0 ? "a" : "b");
    }
    for (int number = 0; number < fleet / 2; ++number) {
        fixture.end(nameOf(number));
    }
    fixture.deliver();
    for (const std::pair<const std::string, std::map<std::string, std::string>> &entry : fixture.held) {
        CATCH_CAPTURE(entry.first);
        CATCH_CHECK(entry.second.size() >= VmLists::sampleSize / 2);
        CATCH_CHECK(entry.second.size() <= 2 * VmLists::sampleSize);
        const std::string ownDomain = fixture.table.find(entry.first)->failure_domain();
        CATCH_CHECK(std::any_of(
            entry.second.begin(), entry.second.end(), [&ownDomain](const std::pair<const std::string, std::string> &vm) { return vm.second == ownDomain; }));
        for (const std::pair<const std::string, std::string> &vm : entry.second) {
            CATCH_CHECK(fixture.table.find(vm.first) != nullptr);
        }
    }
}

// Guards against a VM that goes on forwarding to one that has become partitioned from the instances.
CATCH_TEST_CASE("A VM that can no longer forward is replaced in the lists that have it", "[relay][forwarding]")
{
    ListsFixture fixture;
    for (int number = 0; number < 60; ++number) {
        fixture.arrive(nameOf(number), "a");
    }
    fixture.deliver();
    const std::map<std::string, std::map<std::string, std::string>> before = fixture.held;
    RelayMessages::VmPresence partitioned = presenceOf(nameOf(3), "a");
    partitioned.set_partitioned_from_instances(true);
    fixture.table.set(&ownRelay, partitioned, fixture.now);
    fixture.lists.vmChanged(nameOf(3));
    fixture.deliver();
    for (const std::pair<const std::string, std::map<std::string, std::string>> &entry : fixture.held) {
        CATCH_CHECK_FALSE(entry.second.contains(nameOf(3)));
        CATCH_CHECK(entry.second.size() + 1 >= before.at(entry.first).size());
    }
}

// Guards against a few VMs that all others forward to, since they were the first ones of the fleet.
CATCH_TEST_CASE("Lists that were drawn while the fleet was small are replaced later", "[relay][forwarding]")
{
    ListsFixture fixture;
    for (int number = 0; number < 100; ++number) {
        fixture.arrive(nameOf(number), "a");
    }
    RelayMessages::Update update;
    fixture.lists.redrawIfDue(*fixture.buffers[nameOf(1)], update, fixture.now);
    CATCH_CHECK(update.vms().empty());
    fixture.lists.redrawIfDue(*fixture.buffers[nameOf(1)], update, fixture.now + 2 * expiry);
    CATCH_CHECK(update.all_vms());
    CATCH_CHECK(update.vms_size() >= static_cast<int>(VmLists::sampleSize / 2));
}

// Guards against limits that count VMs twice, or no longer count one that another relay reports.
CATCH_TEST_CASE("A VM counts once however many relays report it, and for a while after its end", "[relay][fleet-limit]")
{
    const SteadyTime now = std::chrono::steady_clock::now();
    VmPresenceTable table{expiry};
    table.set(&ownRelay, presenceOf("vm-1", "a"), now);
    table.set(&otherRelay, presenceOf("vm-1", "a"), now);
    table.set(&otherRelay, presenceOf("vm-2", "a"), now);
    CATCH_CHECK(table.visibleCount() == 2);
    table.setVisible(&otherRelay, false, now);
    CATCH_CHECK(table.visibleCount() == 1);
    CATCH_CHECK(table.knownCount(now) == 2);
    table.setVisible(&otherRelay, true, now);
    CATCH_CHECK(table.visibleCount() == 2);
    table.remove(&ownRelay, "vm-1", now);
    CATCH_CHECK(table.visibleCount() == 2);
    table.removeSource(&otherRelay, now);
    CATCH_CHECK(table.visibleCount() == 0);
    CATCH_CHECK(table.size() == 0);
    CATCH_CHECK(table.knownCount(now + expiry) == 2);
    CATCH_CHECK(table.knownCount(now + 2 * expiry) == 0);
}
