#pragma once

#include "process/control/changeproposer.h"
#include "process/settings/settings.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * Proposes changes to the control group from any VM: tries the replicas in turn and follows their redirects to the leader.
 *
 * A change whose outcome is unknown is sent again, which is safe because the group returns the first outcome for a repeated change id.
 */
class RemoteChangeProposer : public ChangeProposer
{
public:
    struct Hooks {
        /// Fleet addresses (host:port) of the known replicas.
        std::function<std::vector<std::string>()> addresses;
        /// Sends a proposal to one replica once. Errors: ControlUnavailable; NoQuorum when the request didn't reach the replica.
        std::function<boost::leaf::result<ControlMessages::ProposeReply>(
            const std::string &, const ControlMessages::ProposeRequest &, std::chrono::milliseconds)>
            propose;
        /// Returns nothing when the replica didn't reply within the timeout.
        std::function<std::optional<ControlMessages::StatusReply>(const std::string &, std::chrono::milliseconds)> status;
        SteadyClock now;
        std::function<void(std::chrono::milliseconds)> sleep;
        /// Whether the replica at the address is known to lead the group at present. Its reply is then waited for until the deadline, since no other
        /// replica could decide. May be empty: unknown.
        std::function<bool(const std::string &)> isLeading = {};
    };

    explicit RemoteChangeProposer(Hooks hooks);

    /// Creates a proposer that calls the replicas listed in Settings::Control over gRPC.
    static std::unique_ptr<RemoteChangeProposer> create(const Settings &settings);

    boost::leaf::result<ControlMessages::ChangeOutcome> propose(const ControlMessages::CatalogueChange &change, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::ChangeOutcome> putReplica(const ControlMessages::Replica &replica, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::ChangeOutcome> removeReplica(const std::string &replicaId, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::StatusReply> status(SteadyTime deadline) override;

private:
    boost::leaf::result<ControlMessages::ChangeOutcome> proposeUntilDecided(const ControlMessages::ProposeRequest &request, SteadyTime deadline);
    /// The leader if it is known, otherwise the addresses in turn. Those in @p silent, which gave no reply, only when no other is left.
    std::string nextAddress(std::size_t attempt, const std::set<std::string> &silent);
    void rememberLeader(const std::string &address);

    const Hooks hooks;
    std::mutex mutex;
    std::string leaderAddress;
};

} // namespace Hyssophall
