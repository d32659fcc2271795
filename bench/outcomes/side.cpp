#include "side.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace HyssophallBench {

using Hyssophall::Harness::ChildProcess;
using Hyssophall::Harness::TestFleet;

namespace {

// An uneven balancer sends this share of the calls to a few VMs.
constexpr double unevenShare = 0.8;
constexpr std::size_t favouredVms = 3;

} // namespace

Side::Side(const Scenario &scenario, TestFleet::Options options)
    : scenario(scenario)
    , fleet(std::move(options))
{
}

std::size_t Side::chooseVm(double draw, bool uneven) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::size_t> choices;
    for (std::size_t vm = 0; vm < this->inBalancer.size(); ++vm) {
        if (this->inBalancer[vm]) {
            choices.push_back(vm);
        }
    }
    if (uneven) {
        const bool favoured = draw < unevenShare;
        draw = favoured ? draw / unevenShare : (draw - unevenShare) / (1 - unevenShare);
        if (favoured) {
            choices.resize(std::min(choices.size(), favouredVms));
        }
    }
    return choices[std::min(choices.size() - 1, static_cast<std::size_t>(draw * static_cast<double>(choices.size())))];
}

void Side::setInBalancer(std::size_t vm, bool in)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->inBalancer[vm] = in;
}

bool Side::isInBalancer(std::size_t vm) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->inBalancer[vm];
}

void Side::initialiseBalancer()
{
    this->inBalancer.assign(this->vmCount(), true);
}

void Side::startUpstreams()
{
    for (const ServicePlan &service : this->scenario.services) {
        for (int index = 0; index < service.instances; ++index) {
            const std::string id = service.name + "-" + std::to_string(index);
            this->instances[id] = &this->fleet.startUpstream(service.name, id, {"--service_time=10ms", "--seed=" + std::to_string(index + 1)});
        }
    }
}

TestFleet::Upstream &Side::upstream(const std::string &instance)
{
    return *this->instances.at(instance);
}

void Side::setFaults(const std::string &instance, const nlohmann::json &faults)
{
    this->fleet.setFaults(this->upstream(instance), faults);
}

std::uint64_t Side::taken(const std::string &instance)
{
    const nlohmann::json record = this->fleet.record(this->upstream(instance));
    return record.is_object() ? record.value("total", 0ULL) + record.value("shed", 0ULL) : 0;
}

void Side::killInstance(const std::string &instance)
{
    this->upstream(instance).process->kill();
}

void Side::restartInstance(const std::string &instance, const std::vector<std::string> &extraArguments)
{
    TestFleet::Upstream &upstream = this->upstream(instance);
    std::vector<std::string> arguments = upstream.arguments;
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    const std::string output = this->fleet.folder() + "/" + instance + ".out";
    upstream.process
        = boost::leaf::try_handle_all([&] { return ChildProcess::create(std::string(HYSSOPHALL_BINARIES) + "/hyssophall-upstream", arguments, output); },
            [] { return std::unique_ptr<ChildProcess>(); });
}

} // namespace HyssophallBench
