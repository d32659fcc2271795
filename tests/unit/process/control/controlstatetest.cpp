#include "unit/process/control/simulatedgroup.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

ControlMessages::Entry entryFor(std::uint64_t index, const std::string &changeId, const std::string &name, std::uint64_t expectedVersion)
{
    ControlMessages::Entry entry;
    entry.set_term(1);
    entry.set_index(index);
    entry.mutable_change()->set_change_id(changeId);
    entry.mutable_change()->set_expected_version(expectedVersion);
    entry.mutable_change()->mutable_change()->mutable_put_team()->set_name(name);
    return entry;
}

} // namespace

CATCH_TEST_CASE("Each change has one outcome, which a snapshot includes", "[control-log][config-in-force]")
{
    // Guards against a conflict that doesn't report the version in force, and against outcomes that are lost when a replica restores a snapshot.
    NaiveCatalogue catalogue;
    ControlState state(catalogue);
    const std::vector<ControlMessages::Entry> entries
        = {entryFor(1, "first", "a", 0), entryFor(2, "early", "b", 2), entryFor(3, "late", "b", 0), entryFor(4, "bad", "", 1), entryFor(5, "first", "c", 1)};
    CATCH_REQUIRE(state.applyUpTo(ReplicaLog({}, entries), 5));

    NaiveCatalogue restoredCatalogue;
    ControlState restored(restoredCatalogue);
    CATCH_REQUIRE(restored.applyUpTo(ReplicaLog(state.snapshot(), {}), 5));
    CATCH_REQUIRE(restoredCatalogue.names == std::vector<std::string>{"a"});
    CATCH_REQUIRE(restored.outcome("first")->result() == ControlMessages::ChangeOutcome::RESULT_ACCEPTED);
    for (const char *conflicting : {"early", "late"}) {
        CATCH_REQUIRE(restored.outcome(conflicting)->result() == ControlMessages::ChangeOutcome::RESULT_CONFLICT);
        CATCH_REQUIRE(restored.outcome(conflicting)->version() == 1);
    }
    CATCH_REQUIRE(restored.outcome("bad")->result() == ControlMessages::ChangeOutcome::RESULT_INVALID);
    CATCH_REQUIRE(restored.outcome("bad")->field() == "team.name");
}

CATCH_TEST_CASE("The last 10,000 outcomes are kept", "[control-log]")
{
    // Guards against outcomes that are never dropped, so that the state grows with each change without a limit.
    NaiveCatalogue catalogue;
    ControlState state(catalogue);
    std::vector<ControlMessages::Entry> entries;
    for (std::uint64_t index = 1; index <= ControlState::maximumOutcomes + 1; ++index) {
        entries.push_back(entryFor(index, std::to_string(index), "team", index - 1));
    }
    CATCH_REQUIRE(state.applyUpTo(ReplicaLog({}, entries), entries.size()));
    CATCH_REQUIRE_FALSE(state.outcome("1").has_value());
    CATCH_REQUIRE(state.outcome("2")->version() == 2);
}
