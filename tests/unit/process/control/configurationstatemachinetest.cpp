#include "process/control/configurationstatemachine.h"

#include "process/control/controlstate.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;

namespace {

ControlMessages::Entry entryOf(std::uint64_t index, std::uint64_t version, const std::string &document)
{
    ControlMessages::Entry entry;
    entry.set_term(1);
    entry.set_index(index);
    entry.mutable_change()->set_change_id(std::to_string(version) + document);
    CatalogueMessages::Configuration &configuration = *entry.mutable_change()->mutable_change()->mutable_replace_configuration();
    configuration.set_version(version);
    configuration.set_document(document);
    return entry;
}

} // namespace

// Guards against an older configuration, or different content under the same version, coming into force, and against a retry that is refused.
CATCH_TEST_CASE("The first content of the highest version is in force, and every valid configuration is acknowledged", "[control][config-in-force]")
{
    std::vector<std::string> inForce;
    ConfigurationStateMachine machine(
        [&inForce](const std::shared_ptr<const CatalogueMessages::Configuration> &configuration) { inForce.push_back(configuration->document()); });
    ControlState state(machine);
    const std::vector<ControlMessages::Entry> entries{
        entryOf(1, 5, "five"), entryOf(2, 4, "four"), entryOf(3, 5, "other five"), entryOf(4, 9, "nine"), entryOf(5, 5, "five")};
    CATCH_REQUIRE(state.applyUpTo(ReplicaLog(ControlMessages::StateSnapshot(), entries), 5));
    CATCH_CHECK(inForce == std::vector<std::string>{"five", "nine"});
    for (const ControlMessages::Entry &entry : entries) {
        CATCH_CHECK(state.outcome(entry.change().change_id())->result() == ControlMessages::ChangeOutcome::RESULT_ACCEPTED);
    }
    ConfigurationStateMachine restored([](const std::shared_ptr<const CatalogueMessages::Configuration> &) {});
    CATCH_REQUIRE(restored.restore(machine.snapshot()));
    CATCH_CHECK(restored.version() == 9);
    CATCH_CHECK(restored.snapshot().configuration().document() == "nine");
}
