#pragma once

#include "process/control/replicalog.h"
#include "process/control/statemachine.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Hyssophall {

/**
 * The replicated state that results from the committed entries: the catalogue, and the outcomes of the last changes.
 *
 * It depends on nothing but the entries, so it is equal on all replicas. Not thread-safe.
 */
class ControlState
{
public:
    /// Number of outcomes kept, so that a retried change returns its first outcome and isn't applied twice.
    static constexpr std::size_t maximumOutcomes = 10000;

    explicit ControlState(StateMachine &stateMachine);

    /// Applies the entries of @p log up to index @p committed. Restores the log's snapshot first if it is newer than this state.
    /// Returns false when the snapshot is invalid or an entry is missing.
    bool applyUpTo(const ReplicaLog &log, std::uint64_t committed);

    /// The outcome of a change, or nothing when it isn't decided yet or its outcome is no longer kept.
    std::optional<ControlMessages::ChangeOutcome> outcome(const std::string &changeId) const;

    std::uint64_t appliedIndex() const;
    std::uint64_t catalogueVersion() const;
    ControlMessages::StateSnapshot snapshot() const;

private:
    bool restore(const ControlMessages::StateSnapshot &snapshot);
    void apply(const ControlMessages::Entry &entry);
    ControlMessages::ChangeOutcome decideOutcome(const ControlMessages::CatalogueChange &change);
    void storeOutcome(const ControlMessages::ChangeOutcome &outcome);

    StateMachine &stateMachine;
    ControlMessages::Position lastApplied;
    ControlMessages::GroupConfiguration configuration;
    std::deque<std::string> outcomeOrder;
    std::map<std::string, ControlMessages::ChangeOutcome> outcomes;
};

} // namespace Hyssophall
