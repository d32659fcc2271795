#include "process/fleet/recordstore.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

FleetMessages::Record instanceRecord(std::uint64_t incarnation, std::uint64_t sequence, FleetMessages::InstanceState state)
{
    FleetMessages::Record record;
    record.mutable_instance()->set_id("a");
    record.mutable_instance()->set_service("history");
    record.mutable_instance()->set_incarnation(incarnation);
    record.mutable_instance()->set_sequence(sequence);
    record.mutable_instance()->set_state(state);
    return record;
}

FleetMessages::Record ejectionRecord(std::uint64_t epoch, std::uint64_t sequence, std::chrono::milliseconds remaining)
{
    FleetMessages::Record record;
    record.mutable_ejection()->set_service("history");
    record.mutable_ejection()->set_instance("a");
    record.mutable_ejection()->set_instance_incarnation(2);
    record.mutable_ejection()->set_epoch(epoch);
    record.mutable_ejection()->set_sequence(sequence);
    record.mutable_ejection()->set_remaining_milliseconds(static_cast<std::uint32_t>(remaining.count()));
    return record;
}

} // namespace

// Guards against VMs that store different records because they received the same ones in a different order.
CATCH_TEST_CASE("Stored records don't depend on the order of arrival", "[fleet][gossip]")
{
    std::vector<FleetMessages::Record> records = {instanceRecord(1, 9, FleetMessages::INSTANCE_STATE_READY),
        instanceRecord(2, 1, FleetMessages::INSTANCE_STATE_READY),
        instanceRecord(2, 2, FleetMessages::INSTANCE_STATE_READY),
        instanceRecord(2, 2, FleetMessages::INSTANCE_STATE_LEAVING)};
    std::vector<std::size_t> order = {0, 1, 2, 3};
    std::optional<RecordStore::Digests> digests;
    do {
        RecordStore store([] { return SteadyTime(1h); });
        for (const std::size_t index : order) {
            store.merge(records[index]);
        }
        CATCH_REQUIRE(store.findInstance({"history", "a"})->state() == FleetMessages::INSTANCE_STATE_LEAVING);
        CATCH_REQUIRE(store.digests() == digests.value_or(store.digests()));
        digests = store.digests();
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against an ejection that a former arbiter (of a smaller epoch) ends, that lasts longer than its remaining time or that
// still applies to the instance after its restart.
CATCH_TEST_CASE("Ejections follow their order and end by themselves", "[fleet][ejection-floor]")
{
    SteadyTime now(1h);
    RecordStore store([&now] { return now; });
    store.merge(instanceRecord(2, 1, FleetMessages::INSTANCE_STATE_READY));
    int listenerCalls = 0;
    store.addEjectionListener([&listenerCalls](const FleetMessages::Ejection &, SteadyTime) { ++listenerCalls; });
    CATCH_REQUIRE(store.merge(ejectionRecord(3, 1, 5s)));
    CATCH_REQUIRE_FALSE(store.merge(ejectionRecord(3, 1, 5s)));
    CATCH_REQUIRE_FALSE(store.merge(ejectionRecord(2, 9, 0s)));
    CATCH_REQUIRE(store.instances("history")->front().ejected);
    now += 2s;
    CATCH_REQUIRE(store.find(RecordStore::keyOf(ejectionRecord(3, 1, 5s)))->ejection().remaining_milliseconds() == 3000);
    now += 3s;
    CATCH_REQUIRE_FALSE(store.instances("history")->front().ejected);
    CATCH_REQUIRE(store.merge(ejectionRecord(3, 2, 5s)));
    CATCH_REQUIRE(store.instances("history")->front().ejected);
    store.merge(instanceRecord(3, 1, FleetMessages::INSTANCE_STATE_READY));
    CATCH_REQUIRE_FALSE(store.instances("history")->front().ejected);
    CATCH_REQUIRE(listenerCalls == 2);
}

// Guards against a poison record that never ends because each VM that receives a copy treats it as a new record.
CATCH_TEST_CASE("A poison record ends on time however often it is received again", "[fleet][gossip]")
{
    SteadyTime now(1h);
    RecordStore store([&now] { return now; });
    FleetMessages::Record poison;
    poison.mutable_poison()->set_fingerprint(77);
    poison.mutable_poison()->set_remaining_milliseconds(10000);
    CATCH_REQUIRE(store.merge(poison));
    now += 4s;
    CATCH_REQUIRE_FALSE(store.merge(poison));
    CATCH_REQUIRE(store.isPoison(77));
    now += 6s;
    CATCH_REQUIRE_FALSE(store.isPoison(77));
}
