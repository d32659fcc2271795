#include "process/control/replicagroup.h"

namespace Hyssophall {

const ReplicaGroup::Replica *ReplicaGroup::find(const Configuration &configuration, const std::string &id)
{
    for (const Replica &replica : configuration.replicas()) {
        if (replica.id() == id) {
            return &replica;
        }
    }
    return nullptr;
}

bool ReplicaGroup::hasDisk(const Configuration &configuration, const std::string &id, std::uint64_t diskIncarnation)
{
    const Replica *replica = ReplicaGroup::find(configuration, id);
    return replica != nullptr && replica->disk_incarnation() == diskIncarnation;
}

bool ReplicaGroup::hasVoter(const Configuration &configuration, const std::string &id, std::uint64_t diskIncarnation)
{
    return ReplicaGroup::hasDisk(configuration, id, diskIncarnation) && !ReplicaGroup::find(configuration, id)->learner();
}

std::size_t ReplicaGroup::voterCount(const Configuration &configuration)
{
    std::size_t count = 0;
    for (const Replica &replica : configuration.replicas()) {
        count += replica.learner() ? 0 : 1;
    }
    return count;
}

bool ReplicaGroup::hasMajority(const Configuration &configuration, const std::function<bool(const Replica &)> &condition)
{
    std::size_t agreeing = 0;
    for (const Replica &replica : configuration.replicas()) {
        agreeing += !replica.learner() && condition(replica) ? 1 : 0;
    }
    return agreeing > ReplicaGroup::voterCount(configuration) / 2;
}

std::optional<ReplicaGroup::Configuration> ReplicaGroup::withLearner(const Configuration &configuration, const Replica &replica)
{
    Configuration next;
    for (const Replica &existing : configuration.replicas()) {
        if (existing.id() != replica.id()) {
            *next.add_replicas() = existing;
        }
    }
    Replica &added = *next.add_replicas();
    added = replica;
    added.set_learner(true);
    if (next.replicas_size() > maximumReplicas || ReplicaGroup::voterCount(next) == 0) {
        return std::nullopt;
    }
    return next;
}

std::optional<ReplicaGroup::Configuration> ReplicaGroup::withPromotedLearner(const Configuration &configuration, const std::string &id)
{
    Configuration next = configuration;
    for (Replica &replica : *next.mutable_replicas()) {
        if (replica.id() == id && replica.learner()) {
            replica.set_learner(false);
            return next;
        }
    }
    return std::nullopt;
}

std::optional<ReplicaGroup::Configuration> ReplicaGroup::withoutReplica(const Configuration &configuration, const std::string &id)
{
    if (ReplicaGroup::find(configuration, id) == nullptr) {
        return std::nullopt;
    }
    Configuration next;
    for (const Replica &existing : configuration.replicas()) {
        if (existing.id() != id) {
            *next.add_replicas() = existing;
        }
    }
    if (ReplicaGroup::voterCount(next) == 0) {
        return std::nullopt;
    }
    return next;
}

} // namespace Hyssophall
