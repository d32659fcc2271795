#pragma once

#include "process/control/changeproposer.h"
#include "process/settings/settings.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/**
 * Has changes decided by the control group from any VM: asks its replicas in turn and follows their word on the leader.
 *
 * A change is sent again when its fate is unknown, since the group answers a resent change with the first answer.
 */
class RemoteChangeProposer : public ChangeProposer
{
public:
    struct Hooks {
        /// Fleet addresses of the replicas as far as known.
        std::function<std::vector<std::string>()> addresses;
        /// One attempt at one replica. Errors: ControlUnavailable; NoQuorum when the replica got nothing.
        std::function<boost::leaf::result<ControlMessages::ProposeReply>(
            const std::string &, const ControlMessages::ProposeRequest &, std::chrono::milliseconds)>
            propose;
        std::function<std::optional<ControlMessages::StatusReply>(const std::string &, std::chrono::milliseconds)> status;
        SteadyClock now;
        std::function<void(std::chrono::milliseconds)> sleep;
    };

    explicit RemoteChangeProposer(Hooks hooks);

    /// A proposer that calls the replicas of Settings::Control over gRPC.
    static std::unique_ptr<RemoteChangeProposer> create(const Settings &settings);

    boost::leaf::result<ControlMessages::ChangeOutcome> propose(const ControlMessages::CatalogueChange &change, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::ChangeOutcome> putReplica(const ControlMessages::Replica &replica, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::ChangeOutcome> removeReplica(const std::string &replicaId, SteadyTime deadline) override;
    boost::leaf::result<ControlMessages::StatusReply> status(SteadyTime deadline) override;

private:
    boost::leaf::result<ControlMessages::ChangeOutcome> decide(const ControlMessages::ProposeRequest &request, SteadyTime deadline);
    std::string nextAddress(std::size_t attempt);
    void rememberLeader(const std::string &address);

    const Hooks hooks;
    std::mutex mutex;
    std::string leaderAddress;
};

} // namespace Hyssophall
