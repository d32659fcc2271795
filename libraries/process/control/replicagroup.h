#pragma once

#include "process/control/changeproposer.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace Hyssophall {

/// Queries on a group's configuration, and the changes of a single replica that derive a new configuration from it.
class ReplicaGroup
{
public:
    static constexpr int maximumReplicas = 7;

    using Configuration = ControlMessages::GroupConfiguration;
    using Replica = ControlMessages::Replica;

    /// The replica with this id, or null.
    static const Replica *find(const Configuration &configuration, const std::string &id);

    /// Whether the configuration has the replica with this disk incarnation, as a voter or a learner.
    static bool hasDisk(const Configuration &configuration, const std::string &id, std::uint64_t diskIncarnation);

    /// Like hasDisk(), for voters only.
    static bool hasVoter(const Configuration &configuration, const std::string &id, std::uint64_t diskIncarnation);
    static std::size_t voterCount(const Configuration &configuration);

    /// Whether a majority of the voters satisfies the condition. Never true without voters.
    static bool hasMajority(const Configuration &configuration, const std::function<bool(const Replica &)> &condition);

    /// Adds the replica as a learner; one with the same id is replaced. Returns nothing when the group would have too many replicas or no voter.
    static std::optional<Configuration> withLearner(const Configuration &configuration, const Replica &replica);

    /// Makes the learner a voter. Returns nothing when there is no such learner.
    static std::optional<Configuration> withPromotedLearner(const Configuration &configuration, const std::string &id);

    /// Returns nothing when there is no such replica or it is the only voter.
    static std::optional<Configuration> withoutReplica(const Configuration &configuration, const std::string &id);
};

} // namespace Hyssophall
