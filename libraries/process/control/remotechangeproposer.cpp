#include "process/control/remotechangeproposer.h"

#include "process/control/controlclients.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds pauseBetweenAttempts{50};
/// An attempt at a leader that is frozen or partitioned gets no reply. A change that is proposed again has the same id, so it is applied once.
constexpr std::chrono::milliseconds attemptTimeout{400};
constexpr std::chrono::milliseconds statusTimeout{1000};

/// Result of an attempt without a reply.
struct AttemptFailure {
    bool mayBeAccepted = false;
};

} // namespace

RemoteChangeProposer::RemoteChangeProposer(Hooks hooks)
    : hooks(std::move(hooks))
{
}

std::unique_ptr<RemoteChangeProposer> RemoteChangeProposer::create(const Settings &settings)
{
    const std::shared_ptr<ControlClients> clients = std::make_shared<ControlClients>(settings.fleet.secret);
    Hooks hooks;
    hooks.addresses = [replicas = settings.control.replicas] { return replicas; };
    hooks.propose = [clients](const std::string &address, const ControlMessages::ProposeRequest &request, std::chrono::milliseconds timeout) {
        return clients->at(address)->propose(request, timeout);
    };
    hooks.status = [clients](const std::string &address, std::chrono::milliseconds timeout) { return clients->at(address)->status(timeout); };
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.sleep = [](std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); };
    return std::make_unique<RemoteChangeProposer>(std::move(hooks));
}

boost::leaf::result<ControlMessages::ChangeOutcome> RemoteChangeProposer::propose(const ControlMessages::CatalogueChange &change, SteadyTime deadline)
{
    ControlMessages::ProposeRequest request;
    *request.mutable_change() = change;
    return this->proposeUntilDecided(request, deadline);
}

boost::leaf::result<ControlMessages::ChangeOutcome> RemoteChangeProposer::putReplica(const ControlMessages::Replica &replica, SteadyTime deadline)
{
    ControlMessages::ProposeRequest request;
    *request.mutable_put_replica() = replica;
    return this->proposeUntilDecided(request, deadline);
}

boost::leaf::result<ControlMessages::ChangeOutcome> RemoteChangeProposer::removeReplica(const std::string &replicaId, SteadyTime deadline)
{
    ControlMessages::ProposeRequest request;
    request.set_remove_replica(replicaId);
    return this->proposeUntilDecided(request, deadline);
}

boost::leaf::result<ControlMessages::ChangeOutcome> RemoteChangeProposer::proposeUntilDecided(
    const ControlMessages::ProposeRequest &request, SteadyTime deadline)
{
    bool mayBeAccepted = false;
    std::set<std::string> silent;
    for (std::size_t attempt = 0; this->hooks.now() < deadline; ++attempt) {
        const std::string address = this->nextAddress(attempt, silent);
        if (address.empty()) {
            break;
        }
        const std::chrono::milliseconds remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - this->hooks.now());
        const bool isLeading = this->hooks.isLeading && this->hooks.isLeading(address);
        const std::chrono::milliseconds timeout = isLeading ? remaining : std::min(remaining, attemptTimeout);
        std::optional<AttemptFailure> failure;
        const ControlMessages::ProposeReply reply
            = boost::leaf::try_handle_all([this, &address, &request, timeout] { return this->hooks.propose(address, request, timeout); },
                [&failure](const ControlUnavailable &unavailable) {
                    failure = AttemptFailure{unavailable.reason == ControlUnavailable::Reason::Unknown};
                    return ControlMessages::ProposeReply();
                },
                [&failure] {
                    failure = AttemptFailure{true};
                    return ControlMessages::ProposeReply();
                });
        if (reply.result() == ControlMessages::ProposeReply::RESULT_DECIDED) {
            this->rememberLeader(address);
            return reply.outcome();
        }
        if (failure) {
            silent.insert(address);
        }
        mayBeAccepted = mayBeAccepted || (failure && failure->mayBeAccepted) || reply.result() == ControlMessages::ProposeReply::RESULT_UNKNOWN;
        this->rememberLeader(reply.result() == ControlMessages::ProposeReply::RESULT_NOT_LEADER ? reply.leader_address() : "");
        this->hooks.sleep(pauseBetweenAttempts);
    }
    const ControlUnavailable::Reason reason = mayBeAccepted ? ControlUnavailable::Reason::Unknown : ControlUnavailable::Reason::NoQuorum;
    return boost::leaf::new_error(ControlUnavailable{reason});
}

boost::leaf::result<ControlMessages::StatusReply> RemoteChangeProposer::status(SteadyTime deadline)
{
    for (const std::string &address : this->hooks.addresses()) {
        const std::chrono::milliseconds remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - this->hooks.now());
        if (remaining.count() <= 0) {
            break;
        }
        const std::optional<ControlMessages::StatusReply> reply = this->hooks.status(address, std::min(remaining, statusTimeout));
        if (reply) {
            return *reply;
        }
    }
    return boost::leaf::new_error(ControlUnavailable{ControlUnavailable::Reason::NoQuorum});
}

std::string RemoteChangeProposer::nextAddress(std::size_t attempt, const std::set<std::string> &silent)
{
    std::vector<std::string> addresses = this->hooks.addresses();
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        // The others may still name a leader that no longer replies, until they have elected another one.
        if (!this->leaderAddress.empty() && !silent.contains(this->leaderAddress)) {
            return this->leaderAddress;
        }
    }
    if (!std::all_of(addresses.begin(), addresses.end(), [&silent](const std::string &address) { return silent.contains(address); })) {
        std::erase_if(addresses, [&silent](const std::string &address) { return silent.contains(address); });
    }
    return addresses.empty() ? std::string() : addresses[attempt % addresses.size()];
}

void RemoteChangeProposer::rememberLeader(const std::string &address)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->leaderAddress = address;
}

} // namespace Hyssophall
