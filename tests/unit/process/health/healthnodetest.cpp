#include "process/health/healthnode.h"

#include "support/fakedirectory.h"
#include "support/silenttransport.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t poisonFingerprint = 77;

/// VMs that call each other directly instead of over a network. The first one owns all shards.
class LinkedVms : public MemberView, public ShardLeases
{
public:
    explicit LinkedVms(int count)
    {
        for (int number = 0; number < count; ++number) {
            this->vms.push_back(std::make_unique<Vm>(*this, "vm-" + std::to_string(number)));
        }
    }

    std::vector<std::string> liveMembers() const override
    {
        std::vector<std::string> ids;
        for (const std::unique_ptr<Vm> &vm : this->vms) {
            ids.push_back(vm->id);
        }
        return ids;
    }

    std::string addressOf(const std::string &memberId) const override
    {
        return memberId;
    }

    std::vector<MemberStatus> members() const override
    {
        return {};
    }

    std::optional<std::uint64_t> heldEpoch(std::uint32_t) const override
    {
        return 1;
    }

    std::string candidateOf(std::uint32_t) const override
    {
        return "vm-0";
    }

    bool refuses(std::size_t number) const
    {
        return this->vms[number]->monitor.isPoison(poisonFingerprint);
    }

    struct Vm : public TestSupport::SilentTransport {
        Vm(LinkedVms &fleet, const std::string &id)
            : fleet(fleet)
            , id(id)
            , monitor(monitorOptions(), this->directory)
            , node(nodeOptions(id), this->monitor, this->directory, fleet, fleet, *this)
        {
        }

        static HealthMonitor::Options monitorOptions()
        {
            HealthMonitor::Options options;
            options.clock = std::chrono::steady_clock::now;
            options.random = [] { return std::uint64_t{1}; };
            options.reportCrash = [](std::uint64_t, const std::string &) {};
            return options;
        }

        static HealthNode::Options nodeOptions(const std::string &id)
        {
            HealthNode::Options options;
            options.memberId = id;
            options.clock = std::chrono::steady_clock::now;
            options.random = [] { return std::uint64_t{1}; };
            options.floorOf = [](const std::string &) { return CapacityFloor(); };
            // Drops all records, as if gossip hadn't reached any VM yet.
            options.publish = [](const FleetMessages::Record &) {};
            return options;
        }

        void reportCrash(const std::string &address,
            const FleetMessages::ReportCrashRequest &request,
            std::chrono::milliseconds,
            Completion<FleetMessages::ReportCrashReply> done) override
        {
            for (const std::unique_ptr<Vm> &vm : this->fleet.vms) {
                if (vm->id == address && vm->id != this->fleet.unreachableVm) {
                    done(vm->node.handleReportCrash(request));
                }
            }
        }

        LinkedVms &fleet;
        const std::string id;
        TestSupport::FakeDirectory directory;
        HealthMonitor monitor;
        HealthNode node;
    };

    std::vector<std::unique_ptr<Vm>> vms;
    std::string unreachableVm;
};

} // namespace

// Guards against a poison request that crashes one more instance through each VM to which its caller sends it again, as happens while only gossip
// spreads the poison record.
CATCH_TEST_CASE("A poison request is refused on all live VMs before its caller gets the response", "[health][poison]")
{
    LinkedVms fleet(5);
    const std::size_t reporter = GENERATE(std::size_t{0}, std::size_t{3});
    fleet.vms[reporter]->node.reportCrash(poisonFingerprint, "reads-00");
    for (std::size_t number = 0; number < fleet.vms.size(); ++number) {
        CATCH_REQUIRE_FALSE(fleet.refuses(number));
    }
    fleet.vms[reporter]->node.reportCrash(poisonFingerprint, "reads-01");
    for (std::size_t number = 0; number < fleet.vms.size(); ++number) {
        CATCH_INFO("vm-" << number << ", reported by vm-" << reporter);
        CATCH_CHECK(fleet.refuses(number));
    }
}

// Guards against a caller that waits long because one VM is unreachable when the others are notified of the poison request.
CATCH_TEST_CASE("A VM that doesn't reply delays the notification of a poison request only for a short time", "[health][poison]")
{
    LinkedVms fleet(4);
    fleet.unreachableVm = "vm-2";
    fleet.vms[1]->node.reportCrash(poisonFingerprint, "reads-00");
    const SteadyTime begin = std::chrono::steady_clock::now();
    fleet.vms[1]->node.reportCrash(poisonFingerprint, "reads-01");
    CATCH_CHECK(std::chrono::steady_clock::now() - begin < 2s);
    CATCH_CHECK(fleet.refuses(0));
    CATCH_CHECK_FALSE(fleet.refuses(2));
    CATCH_CHECK(fleet.refuses(3));
}
