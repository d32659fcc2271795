#pragma once

#include "process/administration/administrationapi.h"
#include "process/keyhash.h"

#include <boost/leaf/error.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hyssophall {

/// Decides each change at once, as the control group would, and returns the first outcome again for the same change id.
class MockProposer : public ChangeProposer
{
public:
    explicit MockProposer(CatalogueStore &store)
        : store(store)
    {
    }

    boost::leaf::result<ControlMessages::ChangeOutcome> propose(const ControlMessages::CatalogueChange &change, SteadyTime) override
    {
        this->proposed.push_back(change);
        if (this->failure) {
            return boost::leaf::new_error(ControlUnavailable{*this->failure});
        }
        const auto kept = this->outcomes.find(change.change_id());
        return kept == this->outcomes.end() ? this->outcomes[change.change_id()] = this->decide(change) : kept->second;
    }

    boost::leaf::result<ControlMessages::ChangeOutcome> putReplica(const ControlMessages::Replica &replica, SteadyTime) override
    {
        ControlMessages::ChangeOutcome outcome;
        outcome.set_result(ControlMessages::ChangeOutcome::RESULT_ACCEPTED);
        this->replicas[replica.id()] = replica;
        return outcome;
    }

    boost::leaf::result<ControlMessages::ChangeOutcome> removeReplica(const std::string &replicaId, SteadyTime) override
    {
        ControlMessages::ChangeOutcome outcome;
        outcome.set_result(
            this->replicas.erase(replicaId) > 0 ? ControlMessages::ChangeOutcome::RESULT_ACCEPTED : ControlMessages::ChangeOutcome::RESULT_INVALID);
        return outcome;
    }

    boost::leaf::result<ControlMessages::StatusReply> status(SteadyTime) override
    {
        ControlMessages::StatusReply reply;
        reply.set_role("leader");
        reply.set_disk_incarnation(7);
        return reply;
    }

    std::optional<ControlUnavailable::Reason> failure;
    std::vector<ControlMessages::CatalogueChange> proposed;
    std::map<std::string, ControlMessages::Replica> replicas;

private:
    ControlMessages::ChangeOutcome decide(const ControlMessages::CatalogueChange &change)
    {
        ControlMessages::ChangeOutcome outcome;
        outcome.set_change_id(change.change_id());
        const std::uint64_t present = this->store.current()->version();
        outcome.set_version(present);
        outcome.set_result(ControlMessages::ChangeOutcome::RESULT_CONFLICT);
        if (change.expected_version() == present) {
            CatalogueMessages::VersionedChange versioned;
            versioned.set_version(present + 1);
            *versioned.mutable_change() = change.change();
            const bool accepted = static_cast<bool>(this->store.advance({versioned}));
            outcome.set_result(accepted ? ControlMessages::ChangeOutcome::RESULT_ACCEPTED : ControlMessages::ChangeOutcome::RESULT_INVALID);
            outcome.set_version(accepted ? present + 1 : present);
        }
        return outcome;
    }

    CatalogueStore &store;
    std::map<std::string, ControlMessages::ChangeOutcome> outcomes;
};

class MockMembers : public MemberView
{
public:
    std::vector<std::string> liveMembers() const override
    {
        return {};
    }
    std::string addressOf(const std::string &) const override
    {
        return {};
    }
    std::vector<MemberStatus> members() const override
    {
        return this->statuses;
    }

    std::vector<MemberStatus> statuses;
};

class MockInstances : public InstanceDirectory
{
public:
    std::shared_ptr<const Instances> instances(const std::string &) const override
    {
        return std::make_shared<const Instances>(1);
    }
};

/// An administration API that runs on mocks. The only operator is "alice" with the key "alice-key".
struct ApiFixture {
    ApiFixture()
        : proposer(store)
        , api(this->hooks(), Administration::Configuration{{"vm-1", "127.0.0.1:1", "a", 99}, {{"alice", hexadecimal(hashKey("alice-key"))}}})
    {
    }

    Administration::Hooks hooks()
    {
        Administration::Hooks hooks;
        hooks.store = &this->store;
        hooks.proposer = &this->proposer;
        hooks.members = &this->members;
        hooks.instances = &this->instances;
        hooks.clock = []() { return std::chrono::steady_clock::now(); };
        hooks.metricsText = []() { return std::string("metric 1\n"); };
        hooks.readiness = []() { return Administration::Readiness{false, "vm_isolated"}; };
        hooks.announce = [this](const hyssophall::fleet::v1::AnnounceRequest &request) {
            this->announced.push_back(request);
            return true;
        };
        hooks.bootstrap = [](const ControlMessages::GroupConfiguration &) { return Administration::BootstrapResult::AlreadyBootstrapped; };
        return hooks;
    }

    Administration::HttpResponse send(const std::string &method, std::vector<std::string> segments, const std::string &body = "")
    {
        return this->api.handle({method, std::move(segments), this->query, this->bearer, body});
    }

    CatalogueStore store;
    MockProposer proposer;
    MockMembers members;
    MockInstances instances;
    std::vector<hyssophall::fleet::v1::AnnounceRequest> announced;
    Administration::AdministrationApi api;
    std::map<std::string, std::string> query;
    std::string bearer = "alice-key";
};

} // namespace Hyssophall
