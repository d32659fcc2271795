#pragma once

#include "harness/testfleet.h"
#include "scenario.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace HyssophallBench {

/// One of the two fleets that are compared, with its own upstreams. The balancer before its VMs is part of it.
class Side
{
public:
    virtual ~Side() = default;

    /// Starts everything; false when that fails.
    virtual bool start() = 0;
    virtual std::string callerUrl(std::size_t vm) = 0;
    virtual std::size_t vmCount() = 0;
    virtual void killVm(std::size_t vm) = 0;
    virtual void restartVm(std::size_t vm) = 0;
    virtual bool isVmReady(std::size_t vm) = 0;
    /// Ids of the instances that this VM holds for ejected.
    virtual std::set<std::string> ejectedAt(std::size_t vm, const std::string &service) = 0;
    /// Whether one decision ejects for all VMs.
    virtual bool ejectsFleetWide() const = 0;

    /// The VM to which the balancer sends a request.
    std::size_t chooseVm(double draw, bool uneven) const;
    void setInBalancer(std::size_t vm, bool in);
    bool isInBalancer(std::size_t vm) const;

    void setFaults(const std::string &instance, const nlohmann::json &faults);
    /// Requests that an instance has taken since its start, shed ones included.
    std::uint64_t taken(const std::string &instance);
    void killInstance(const std::string &instance);
    /// Starts a killed instance again.
    void restartInstance(const std::string &instance, const std::vector<std::string> &extraArguments = {});

protected:
    Side(const Scenario &scenario, Hyssophall::Harness::TestFleet::Options options);

    void startUpstreams();
    void initialiseBalancer();

    const Scenario &scenario;
    Hyssophall::Harness::TestFleet fleet;

private:
    Hyssophall::Harness::TestFleet::Upstream &upstream(const std::string &instance);

    mutable std::mutex mutex;
    std::vector<bool> inBalancer;
    std::map<std::string, Hyssophall::Harness::TestFleet::Upstream *> instances;
};

/// The fleet under test.
class FleetSide : public Side
{
public:
    FleetSide(const Scenario &scenario, int vms);

    bool start() override;
    std::string callerUrl(std::size_t vm) override;
    std::size_t vmCount() override;
    void killVm(std::size_t vm) override;
    void restartVm(std::size_t vm) override;
    bool isVmReady(std::size_t vm) override;
    std::set<std::string> ejectedAt(std::size_t vm, const std::string &service) override;
    bool ejectsFleetWide() const override;

    /// Keys of the teams, in their order; empty before the start.
    const std::vector<std::string> &keys() const;

private:
    std::vector<std::string> callerAddresses;
    std::vector<std::string> teamKeys;
};

/// The baseline.
class NaiveSide : public Side
{
public:
    NaiveSide(const Scenario &scenario, std::size_t vms, const std::vector<std::string> &keys);

    bool start() override;
    std::string callerUrl(std::size_t vm) override;
    std::size_t vmCount() override;
    void killVm(std::size_t vm) override;
    void restartVm(std::size_t vm) override;
    bool isVmReady(std::size_t vm) override;
    std::set<std::string> ejectedAt(std::size_t vm, const std::string &service) override;
    bool ejectsFleetWide() const override;

private:
    void writeFiles();

    const std::size_t vms;
    const std::vector<std::string> &keys;
    std::vector<std::uint16_t> ports;
    std::vector<std::unique_ptr<Hyssophall::Harness::ChildProcess>> processes;
};

} // namespace HyssophallBench
