#include "process/control/controlstate.h"

#include <boost/leaf/handle_errors.hpp>

namespace Hyssophall {

namespace {

/// Whether the change ignores the expected version: a whole configuration has its own version, and a read barrier changes nothing.
bool isIndependentOfVersion(const CatalogueMessages::Change &change)
{
    return change.has_replace_configuration() || change.kind_case() == CatalogueMessages::Change::kReadBarrier;
}

} // namespace

ControlState::ControlState(StateMachine &stateMachine)
    : stateMachine(stateMachine)
{
}

bool ControlState::applyUpTo(const ReplicaLog &log, std::uint64_t committed)
{
    if (this->lastApplied.index() < log.snapshotIndex() && !this->restore(log.snapshot())) {
        return false;
    }
    while (this->lastApplied.index() < committed) {
        const ControlMessages::Entry *entry = log.find(this->lastApplied.index() + 1);
        if (entry == nullptr) {
            return false;
        }
        this->apply(*entry);
    }
    return true;
}

bool ControlState::restore(const ControlMessages::StateSnapshot &snapshot)
{
    if (!this->stateMachine.restore(snapshot.catalogue())) {
        return false;
    }
    this->outcomeOrder.clear();
    this->outcomes.clear();
    for (const ControlMessages::ChangeOutcome &outcome : snapshot.outcomes()) {
        this->storeOutcome(outcome);
    }
    this->configuration = snapshot.configuration();
    this->lastApplied = snapshot.last();
    return true;
}

void ControlState::apply(const ControlMessages::Entry &entry)
{
    this->lastApplied.set_term(entry.term());
    this->lastApplied.set_index(entry.index());
    if (entry.has_configuration()) {
        this->configuration = entry.configuration();
    }
    if (entry.has_change() && this->outcomes.count(entry.change().change_id()) == 0) {
        this->storeOutcome(this->decideOutcome(entry.change()));
    }
}

ControlMessages::ChangeOutcome ControlState::decideOutcome(const ControlMessages::CatalogueChange &change)
{
    ControlMessages::ChangeOutcome outcome;
    outcome.set_change_id(change.change_id());
    if (!isIndependentOfVersion(change.change()) && change.expected_version() != this->stateMachine.version()) {
        outcome.set_result(ControlMessages::ChangeOutcome::RESULT_CONFLICT);
        outcome.set_version(this->stateMachine.version());
        return outcome;
    }
    outcome.set_result(ControlMessages::ChangeOutcome::RESULT_INVALID);
    boost::leaf::try_handle_all(
        [this, &change, &outcome]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(this->stateMachine.apply(change.change()));
            outcome.set_result(ControlMessages::ChangeOutcome::RESULT_ACCEPTED);
            return {};
        },
        [&outcome](const InvalidChange &invalid) {
            outcome.set_field(invalid.field);
            outcome.set_expected(invalid.expected);
        },
        [] {});
    outcome.set_version(this->stateMachine.version());
    return outcome;
}

void ControlState::storeOutcome(const ControlMessages::ChangeOutcome &outcome)
{
    this->outcomes[outcome.change_id()] = outcome;
    this->outcomeOrder.push_back(outcome.change_id());
    if (this->outcomeOrder.size() > maximumOutcomes) {
        this->outcomes.erase(this->outcomeOrder.front());
        this->outcomeOrder.pop_front();
    }
}

std::optional<ControlMessages::ChangeOutcome> ControlState::outcome(const std::string &changeId) const
{
    const auto known = this->outcomes.find(changeId);
    if (known == this->outcomes.end()) {
        return std::nullopt;
    }
    return known->second;
}

std::uint64_t ControlState::appliedIndex() const
{
    return this->lastApplied.index();
}

std::uint64_t ControlState::catalogueVersion() const
{
    return this->stateMachine.version();
}

ControlMessages::StateSnapshot ControlState::snapshot() const
{
    ControlMessages::StateSnapshot snapshot;
    *snapshot.mutable_last() = this->lastApplied;
    *snapshot.mutable_configuration() = this->configuration;
    *snapshot.mutable_catalogue() = this->stateMachine.snapshot();
    for (const std::string &changeId : this->outcomeOrder) {
        *snapshot.add_outcomes() = this->outcomes.at(changeId);
    }
    return snapshot;
}

} // namespace Hyssophall
