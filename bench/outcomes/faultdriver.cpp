#include "faultdriver.h"

#include <algorithm>
#include <thread>

namespace HyssophallBench {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds stepInterval{50};
// The balancer notices a dead VM by its own probes after this time.
constexpr double balancerDelay = 1;
constexpr double flapPeriod = 1;
constexpr double watchInterval = 0.3;
// A decision of the fault's last moments may still be on its way.
constexpr double excuseTime = 2;

json faultsOf(FaultKind kind)
{
    switch (kind) {
    case FaultKind::Error30:
        return {{"mode", "error"}, {"ratio", 0.3}};
    case FaultKind::Error70:
        return {{"mode", "error"}, {"ratio", 0.7}};
    case FaultKind::Error100:
    case FaultKind::Flap:
        return {{"mode", "error"}, {"ratio", 1.0}};
    case FaultKind::Slow:
        return {{"mode", "slow"}, {"delay_ms", 200}};
    case FaultKind::Truncate:
        return {{"mode", "truncate"}};
    case FaultKind::Hang:
        return {{"mode", "hang"}, {"delay_ms", 4000}};
    case FaultKind::ServiceSheds:
        return {{"mode", "shed"}, {"ratio", 0.5}};
    default:
        return {{"mode", "none"}};
    }
}

} // namespace

FaultDriver::FaultDriver(Side &side, const Scenario &scenario)
    : side(side)
    , scenario(scenario)
    , seen(scenario.windows.size())
    , ejectedBefore(side.vmCount())
{
}

void FaultDriver::run(Hyssophall::SteadyTime start)
{
    for (std::size_t index = 0; index < this->scenario.windows.size(); ++index) {
        this->runWindow(index, start);
    }
}

const std::vector<WindowObservation> &FaultDriver::observations() const
{
    return this->seen;
}

void FaultDriver::runWindow(std::size_t index, Hyssophall::SteadyTime start)
{
    const FaultWindow &window = this->scenario.windows[index];
    const auto elapsed = [start] { return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count(); };
    const std::chrono::duration<double> offset(window.begin);
    std::this_thread::sleep_until(start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(offset));
    this->vmsWithTarget.clear();
    this->apply(window);
    bool holds = window.kind != FaultKind::None;
    for (double now = elapsed(); now < window.end; now = elapsed()) {
        if (holds && now >= window.clear) {
            holds = false;
            this->clear(window);
        } else if (holds) {
            this->maintain(window, now - window.begin);
            if (window.hitsInstance()) {
                this->watchTarget(window, this->seen[index], now - window.begin);
            }
        }
        this->watch(index, now);
        std::this_thread::sleep_for(stepInterval);
    }
    if (holds) {
        this->clear(window);
    }
}

std::string FaultDriver::targetOf(const FaultWindow &window) const
{
    return this->scenario.services[window.service].name + "-" + std::to_string(window.instance);
}

std::size_t FaultDriver::vmOf(const FaultWindow &window) const
{
    constexpr std::size_t controlVms = 3;
    const std::size_t vms = this->side.vmCount();
    return vms <= controlVms ? vms - 1 : controlVms + window.vm % (vms - controlVms);
}

void FaultDriver::setFaults(const FaultWindow &window, const json &faults)
{
    if (window.kind != FaultKind::ServiceSheds) {
        this->side.setFaults(this->targetOf(window), faults);
        return;
    }
    const ServicePlan &service = this->scenario.services[window.service];
    for (int instance = 0; instance < service.instances; ++instance) {
        this->side.setFaults(service.name + "-" + std::to_string(instance), faults);
    }
}

void FaultDriver::apply(const FaultWindow &window)
{
    switch (window.kind) {
    case FaultKind::None:
    case FaultKind::TeamFlood:
    case FaultKind::UnevenBalancer:
        return;
    case FaultKind::Killed:
        this->side.killInstance(this->targetOf(window));
        return;
    case FaultKind::ColdStart:
        this->side.killInstance(this->targetOf(window));
        this->side.restartInstance(this->targetOf(window), {"--cold_start=6s"});
        return;
    case FaultKind::VmKilled:
        this->side.killVm(this->vmOf(window));
        return;
    default:
        this->flapIsOn = true;
        this->setFaults(window, faultsOf(window.kind));
    }
}

void FaultDriver::maintain(const FaultWindow &window, double since)
{
    if (window.kind == FaultKind::Flap) {
        const bool on = static_cast<int>(since / flapPeriod) % 2 == 0;
        if (on != this->flapIsOn) {
            this->flapIsOn = on;
            this->setFaults(window, faultsOf(on ? FaultKind::Flap : FaultKind::None));
        }
    }
    if (window.kind == FaultKind::VmKilled && since >= balancerDelay) {
        this->side.setInBalancer(this->vmOf(window), false);
    }
}

void FaultDriver::clear(const FaultWindow &window)
{
    if (window.kind == FaultKind::Killed) {
        this->side.restartInstance(this->targetOf(window));
    } else if (window.kind == FaultKind::VmKilled) {
        this->returningVm = this->vmOf(window);
        this->ejectedBefore[*this->returningVm].clear();
        this->side.restartVm(*this->returningVm);
    } else if (window.hitsInstance() || window.kind == FaultKind::ServiceSheds) {
        this->setFaults(window, faultsOf(FaultKind::None));
    }
}

void FaultDriver::watchTarget(const FaultWindow &window, WindowObservation &observation, double since)
{
    const std::string target = this->targetOf(window);
    observation.taken.emplace_back(since, this->side.taken(target));
    if (!this->side.ejectsFleetWide() || observation.ejectedOnAll) {
        return;
    }
    for (std::size_t vm = 0; vm < this->side.vmCount(); ++vm) {
        if (!this->side.isInBalancer(vm) || this->vmsWithTarget.contains(vm)) {
            continue;
        }
        if (!this->side.ejectedAt(vm, this->scenario.services[window.service].name).contains(target)) {
            return;
        }
        this->vmsWithTarget.insert(vm);
        observation.ejectingVms = this->vmsWithTarget.size();
        observation.firstEjected = observation.firstEjected.value_or(since);
    }
    observation.ejectedOnAll = since;
}

void FaultDriver::watch(std::size_t index, double now)
{
    if (now < this->nextWatch) {
        return;
    }
    // Local decisions are watched on every VM, which takes more calls.
    const bool everywhere = !this->side.ejectsFleetWide();
    this->nextWatch = now + (everywhere ? 3 : 1) * watchInterval;
    if (this->returningVm && this->side.isVmReady(*this->returningVm)) {
        this->side.setInBalancer(*this->returningVm, true);
        this->returningVm.reset();
    }
    for (std::size_t vm = 0; vm < (everywhere ? this->side.vmCount() : 1); ++vm) {
        if (this->side.isInBalancer(vm)) {
            this->noteEjected(index, vm, now);
        }
    }
}

void FaultDriver::noteEjected(std::size_t index, std::size_t vm, double now)
{
    const FaultWindow &window = this->scenario.windows[index];
    WindowObservation &observation = this->seen[index];
    std::set<std::string> ejected;
    for (const ServicePlan &service : this->scenario.services) {
        ejected.merge(this->side.ejectedAt(vm, service.name));
    }
    for (const std::string &instance : ejected) {
        if (this->ejectedBefore[vm].contains(instance)) {
            continue;
        }
        if (!this->isExcused(index, instance, now)) {
            observation.falselyEjected.insert(instance);
            ++observation.falseEjectionsOnVms;
        } else if (!this->side.ejectsFleetWide() && window.hitsInstance() && instance == this->targetOf(window)) {
            this->vmsWithTarget.insert(vm);
            observation.ejectingVms = this->vmsWithTarget.size();
            observation.firstEjected = observation.firstEjected.value_or(now - window.begin);
        }
    }
    this->ejectedBefore[vm] = std::move(ejected);
}

bool FaultDriver::isExcused(std::size_t index, const std::string &instance, double now) const
{
    const FaultWindow &window = this->scenario.windows[index];
    if (window.hitsInstance() && instance == this->targetOf(window) && now < window.clear + excuseTime) {
        return true;
    }
    const FaultWindow &before = this->scenario.windows[index == 0 ? 0 : index - 1];
    return before.hitsInstance() && instance == this->targetOf(before) && now < before.clear + excuseTime;
}

} // namespace HyssophallBench
