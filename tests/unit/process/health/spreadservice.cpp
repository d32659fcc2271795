#include "unit/process/health/spreadservice.h"

#include "unit/process/relay/registrations.h"

#include <algorithm>
#include <utility>

using namespace Hyssophall;

namespace HyssophallTest {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr SteadyTime start{std::chrono::hours(1)};
constexpr std::size_t failureDomains = 4;
constexpr Milliseconds grayCycle{9000};
constexpr Milliseconds grayTime{4500};
constexpr Milliseconds addedGrayTime{2700};
constexpr unsigned grayFailurePercent = 75;
/// Time until the other VMs apply what a VM reports.
constexpr Milliseconds reportDelay{80};
constexpr Milliseconds failureLatency{2};
constexpr double meanLatencyMilliseconds = 240;
/// An instance is slow for this long after its start.
constexpr Milliseconds warmUp{3000};
constexpr double coldFactor = 3;
constexpr Milliseconds window{2000};

} // namespace

SpreadService::SpreadService(const Options &options)
    : options(options)
    , random(options.seed)
{
    for (std::size_t number = 0; number < options.vms; ++number) {
        InstanceSelector::Options selectorOptions;
        selectorOptions.ownFailureDomain = std::string(1, static_cast<char>('a' + number % failureDomains));
        selectorOptions.random = [this] { return this->random(); };
        this->vms.push_back({selectorOptions.ownFailureDomain, std::make_unique<InstanceSelector>(selectorOptions)});
    }
    this->addInstances(options.instances, false);
}

std::vector<SpreadService::Window> SpreadService::run()
{
    this->schedule(start + this->options.addedAt, [this](SteadyTime) { this->addInstances(this->options.added, true); });
    std::exponential_distribution<double> pause(this->options.requestsPerSecond);
    for (std::chrono::duration<double> at{0}; at < this->options.end; at += std::chrono::duration<double>(pause(this->random))) {
        this->schedule(start + std::chrono::duration_cast<SteadyTime::duration>(at), [this](SteadyTime now) { this->send(now); });
    }
    while (!this->events.empty()) {
        const auto first = this->events.begin();
        const SteadyTime now = first->first;
        const std::function<void(SteadyTime)> event = std::move(first->second);
        this->events.erase(first);
        event(now);
    }
    std::vector<Window> windows;
    Milliseconds from = (this->options.addedAt / window + 2) * window;
    for (; from + window <= this->options.end; from += window) {
        Window &result = windows.emplace_back();
        result.start = from;
        const SteadyTime begin = start + from;
        const auto isInside = [begin](SteadyTime time) { return time >= begin && time < begin + window; };
        for (const Instance &instance : this->instances) {
            if (instance.isAdded && this->isSound(instance, begin - window, begin + window)) {
                ++result.sound;
                result.used += std::any_of(instance.starts.begin(), instance.starts.end(), isInside) ? 1 : 0;
            }
        }
        for (const std::pair<SteadyTime, bool> &each : this->ended) {
            result.ended += isInside(each.first) ? 1 : 0;
            result.failed += isInside(each.first) && each.second ? 1 : 0;
        }
    }
    return windows;
}

void SpreadService::addInstances(std::size_t count, bool isAdded)
{
    for (std::size_t number = 0; number < count; ++number) {
        Instance &instance = this->instances.emplace_back();
        const std::size_t index = this->instances.size();
        instance.registration = registrationOf("i-" + std::to_string(index), 1, 1, static_cast<std::uint32_t>(1000 + index));
        instance.registration.set_failure_domain(std::string(1, static_cast<char>('a' + index % failureDomains)));
        instance.registration.set_warmup_milliseconds(isAdded ? static_cast<std::uint32_t>(warmUp.count()) : 0);
        instance.phase = Milliseconds(static_cast<Milliseconds::rep>(this->random() % static_cast<std::uint64_t>(grayCycle.count())));
        instance.isAdded = isAdded;
        for (const Vm &vm : this->vms) {
            vm.selector->apply(instance.registration);
        }
    }
}

bool SpreadService::isGray(const Instance &instance, SteadyTime at) const
{
    const Milliseconds since = std::chrono::duration_cast<Milliseconds>(at - start) + instance.phase;
    return since % grayCycle < (instance.isAdded ? addedGrayTime : grayTime);
}

bool SpreadService::isSound(const Instance &instance, SteadyTime from, SteadyTime to) const
{
    for (SteadyTime at = from; at < to; at += Milliseconds(10)) {
        if (this->isGray(instance, at)) {
            return false;
        }
    }
    return true;
}

void SpreadService::send(SteadyTime now)
{
    const std::size_t vm = this->random() % this->vms.size();
    InstanceQuery query;
    query.service = "orders";
    const std::optional<RelayMessages::Registration> chosen = this->vms[vm].selector->choose(query, 0, now);
    if (!chosen) {
        return;
    }
    const auto found = std::find_if(
        this->instances.begin(), this->instances.end(), [&chosen](const Instance &instance) { return instance.registration.id() == chosen->id(); });
    const std::size_t index = static_cast<std::size_t>(found - this->instances.begin());
    found->starts.push_back(now);
    RelayMessages::InstanceOutcomes started;
    started.set_instance(InstanceTable::handleOf(*chosen));
    started.set_started(1);
    this->report(vm, started, now);
    const bool failed = this->isGray(*found, now) && this->random() % 100 < grayFailurePercent;
    const Milliseconds latency = failed ? failureLatency : this->latencyOf(*found, now);
    this->schedule(now + latency, [this, vm, index, failed, latency](SteadyTime at) { this->finish(vm, index, failed, latency, at); });
}

void SpreadService::finish(std::size_t vm, std::size_t instance, bool failed, Milliseconds latency, SteadyTime now)
{
    this->ended.emplace_back(now, failed);
    RelayMessages::InstanceOutcomes outcomes;
    outcomes.set_instance(InstanceTable::handleOf(this->instances[instance].registration));
    failed ? outcomes.set_failed(1) : outcomes.set_succeeded(1);
    outcomes.set_latency_milliseconds(static_cast<std::uint32_t>(latency.count()));
    this->report(vm, outcomes, now);
}

Milliseconds SpreadService::latencyOf(const Instance &instance, SteadyTime now)
{
    std::gamma_distribution<double> distribution(4, meanLatencyMilliseconds / 4);
    const bool isCold = instance.isAdded && now < start + this->options.addedAt + warmUp;
    return Milliseconds(static_cast<Milliseconds::rep>(distribution(this->random) * (isCold ? coldFactor : 1)));
}

void SpreadService::report(std::size_t vm, const RelayMessages::InstanceOutcomes &outcomes, SteadyTime now)
{
    const bool isEnd = InstanceSelector::endedCount(outcomes) > 0;
    RelayMessages::ServiceUse use;
    use.set_service("orders");
    use.set_unserved(outcomes.failed());
    use.set_served(outcomes.succeeded());
    this->vms[vm].selector->applyOwn(outcomes, now);
    if (isEnd) {
        this->vms[vm].selector->apply(use, now);
    }
    this->schedule(now + reportDelay, [this, vm, outcomes, use, isEnd](SteadyTime at) {
        for (std::size_t other = 0; other < this->vms.size(); ++other) {
            if (other != vm) {
                this->vms[other].selector->apply(outcomes, at);
                if (isEnd) {
                    this->vms[other].selector->apply(use, at);
                }
            }
        }
    });
}

void SpreadService::schedule(SteadyTime at, std::function<void(SteadyTime)> event)
{
    this->events.emplace(at, std::move(event));
}

} // namespace HyssophallTest
