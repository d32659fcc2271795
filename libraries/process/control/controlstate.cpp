#include "process/control/controlstate.h"

#include <boost/leaf/handle_errors.hpp>

namespace Hyssophall {

namespace {

/// A whole configuration has a version of its own, and a barrier changes nothing, so neither depends on the version in force.
bool isOrderedByItself(const CatalogueMessages::Change &change)
{
    return change.has_replace_configuration() || change.kind_case() == CatalogueMessages::Change::kReadBarrier;
}

} // namespace

ControlState::ControlState(CatalogueMachine &catalogue)
    : catalogue(catalogue)
{
}

bool ControlState::catchUp(const ReplicaLog &log, std::uint64_t committed)
{
    if (this->applied.index() < log.snapshotIndex() && !this->restore(log.snapshot())) {
        return false;
    }
    while (this->applied.index() < committed) {
        const ControlMessages::Entry *entry = log.find(this->applied.index() + 1);
        if (entry == nullptr) {
            return false;
        }
        this->apply(*entry);
    }
    return true;
}

bool ControlState::restore(const ControlMessages::StateSnapshot &snapshot)
{
    if (!this->catalogue.restore(snapshot.catalogue())) {
        return false;
    }
    this->order.clear();
    this->outcomes.clear();
    for (const ControlMessages::ChangeOutcome &outcome : snapshot.outcomes()) {
        this->keep(outcome);
    }
    this->configuration = snapshot.configuration();
    this->applied = snapshot.last();
    return true;
}

void ControlState::apply(const ControlMessages::Entry &entry)
{
    this->applied.set_term(entry.term());
    this->applied.set_index(entry.index());
    if (entry.has_configuration()) {
        this->configuration = entry.configuration();
    }
    if (entry.has_change() && this->outcomes.count(entry.change().change_id()) == 0) {
        this->keep(this->decide(entry.change()));
    }
}

ControlMessages::ChangeOutcome ControlState::decide(const ControlMessages::CatalogueChange &change)
{
    ControlMessages::ChangeOutcome outcome;
    outcome.set_change_id(change.change_id());
    if (!isOrderedByItself(change.change()) && change.expected_version() != this->catalogue.version()) {
        outcome.set_result(ControlMessages::ChangeOutcome::RESULT_CONFLICT);
        outcome.set_version(this->catalogue.version());
        return outcome;
    }
    outcome.set_result(ControlMessages::ChangeOutcome::RESULT_INVALID);
    boost::leaf::try_handle_all(
        [this, &change, &outcome]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(this->catalogue.apply(change.change()));
            outcome.set_result(ControlMessages::ChangeOutcome::RESULT_ACCEPTED);
            return {};
        },
        [&outcome](const InvalidChange &invalid) {
            outcome.set_field(invalid.field);
            outcome.set_expected(invalid.expected);
        },
        [] {});
    outcome.set_version(this->catalogue.version());
    return outcome;
}

void ControlState::keep(const ControlMessages::ChangeOutcome &outcome)
{
    this->outcomes[outcome.change_id()] = outcome;
    this->order.push_back(outcome.change_id());
    if (this->order.size() > maximumOutcomes) {
        this->outcomes.erase(this->order.front());
        this->order.pop_front();
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
    return this->applied.index();
}

std::uint64_t ControlState::catalogueVersion() const
{
    return this->catalogue.version();
}

ControlMessages::StateSnapshot ControlState::snapshot() const
{
    ControlMessages::StateSnapshot snapshot;
    *snapshot.mutable_last() = this->applied;
    *snapshot.mutable_configuration() = this->configuration;
    *snapshot.mutable_catalogue() = this->catalogue.snapshot();
    for (const std::string &changeId : this->order) {
        *snapshot.add_outcomes() = this->outcomes.at(changeId);
    }
    return snapshot;
}

} // namespace Hyssophall
