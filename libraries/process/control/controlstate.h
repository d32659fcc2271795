#pragma once

#include "process/control/cataloguemachine.h"
#include "process/control/replicalog.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Hyssophall {

/**
 * The state that the committed entries make: the catalogue, and the first answers to the last changes.
 *
 * A pure function of the entries, so it is equal on all replicas. Not thread-safe.
 */
class ControlState
{
public:
    /// Answers kept for changes that are resent.
    static constexpr std::size_t maximumOutcomes = 10000;

    explicit ControlState(CatalogueMachine &catalogue);

    /// Applies the entries of @p log up to @p committed, from the log's snapshot where it must. Returns false when a snapshot can't be used.
    bool catchUp(const ReplicaLog &log, std::uint64_t committed);

    /// The first answer to a change, or nothing when it wasn't decided or is forgotten.
    std::optional<ControlMessages::ChangeOutcome> outcome(const std::string &changeId) const;

    std::uint64_t appliedIndex() const;
    std::uint64_t catalogueVersion() const;
    ControlMessages::StateSnapshot snapshot() const;

private:
    bool restore(const ControlMessages::StateSnapshot &snapshot);
    void apply(const ControlMessages::Entry &entry);
    ControlMessages::ChangeOutcome decide(const ControlMessages::CatalogueChange &change);
    void keep(const ControlMessages::ChangeOutcome &outcome);

    CatalogueMachine &catalogue;
    ControlMessages::Position applied;
    ControlMessages::GroupConfiguration configuration;
    std::deque<std::string> order;
    std::map<std::string, ControlMessages::ChangeOutcome> outcomes;
};

} // namespace Hyssophall
