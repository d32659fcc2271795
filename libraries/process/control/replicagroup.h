#pragma once

#include "process/control/changeproposer.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace Hyssophall {

/// Questions to a group's configuration, and the single-replica changes of it.
class ReplicaGroup
{
public:
    static constexpr int maximumReplicas = 7;

    using Configuration = ControlMessages::GroupConfiguration;
    using Replica = ControlMessages::Replica;

    /// The replica with this id, or null.
    static const Replica *find(const Configuration &configuration, const std::string &id);

    /// Whether the replica is in the configuration with this disk.
    static bool hasDisk(const Configuration &configuration, const std::string &id, std::uint64_t diskIncarnation);
    static bool hasVoter(const Configuration &configuration, const std::string &id, std::uint64_t diskIncarnation);
    static std::size_t voters(const Configuration &configuration);

    /// Whether a majority of the voters satisfies the condition. Never true without voters.
    static bool majority(const Configuration &configuration, const std::function<bool(const Replica &)> &condition);

    /// With the replica as a learner, in place of one with the same id. Nothing when the group would be too large or without voters.
    static std::optional<Configuration> withLearner(const Configuration &configuration, const Replica &replica);

    /// With the learner as a voter. Nothing when there is no such learner.
    static std::optional<Configuration> withPromoted(const Configuration &configuration, const std::string &id);

    /// Nothing when there is no such replica or it is the only voter.
    static std::optional<Configuration> without(const Configuration &configuration, const std::string &id);
};

} // namespace Hyssophall
