#include "process/forwarding/forwardingsender.h"

#include <set>
#include <utility>

namespace Hyssophall {

namespace {

/// Other VMs that are asked for one try, in case the first ones have ended or are partitioned since they were reported.
constexpr int maximumVms = 3;

} // namespace

ForwardingSender::ForwardingSender(UpstreamSender &direct, ForwardingClient &client, VmDirectory &directory, std::function<bool()> isPartitioned)
    : direct(direct)
    , client(client)
    , directory(directory)
    , isPartitioned(std::move(isPartitioned))
{
}

UpstreamResult ForwardingSender::send(const UpstreamCall &call)
{
    if (this->isPartitioned()) {
        const SteadyTime startTime = std::chrono::steady_clock::now();
        UpstreamResult result = this->sendThroughOtherVm(call);
        result.latency = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - startTime);
        return result;
    }
    UpstreamResult result = this->direct.send(call);
    if (result.failure && this->isPartitioned()) {
        result.failure->isPathFailure = true;
    }
    return result;
}

UpstreamResult ForwardingSender::sendThroughOtherVm(const UpstreamCall &call)
{
    std::set<std::string> asked;
    UpstreamResult result;
    while (asked.size() < maximumVms) {
        const std::optional<VmDirectory::Vm> vm = this->directory.choose(call.failureDomain, asked, std::chrono::steady_clock::now());
        if (!vm) {
            break;
        }
        asked.insert(vm->id);
        ForwardingClient::Result forwardedResult = this->client.send(vm->host, vm->port, call);
        if (forwardedResult.acceptance == ForwardingClient::Acceptance::Accepted) {
            ++this->forwarded;
            forwardedResult.upstream.forwardedThrough = vm->id;
            return std::move(forwardedResult.upstream);
        }
        this->directory.avoid(vm->id, std::chrono::steady_clock::now());
    }
    result.failure = UpstreamFailure{UpstreamFailureKind::NoPath, false, false};
    result.failure->isPathFailure = true;
    return result;
}

std::uint64_t ForwardingSender::forwardedCount() const
{
    return this->forwarded;
}

} // namespace Hyssophall
