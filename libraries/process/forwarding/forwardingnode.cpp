#include "process/forwarding/forwardingnode.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Hyssophall {

namespace {

/// Room for the headers of the caller's request and the encoding.
constexpr std::size_t headerBytes = 128 * 1024;

ForwardingClient::Options clientOptions(const Settings &settings)
{
    ForwardingClient::Options options;
    options.vm = settings.vm.id;
    options.fleetSecret = settings.fleet.secret;
    options.maximumAnswerBytes = settings.limits.maximumAnswerBytes;
    return options;
}

ForwardingService::Hooks serviceHooks(EntryNode &node)
{
    ForwardingService::Hooks hooks;
    hooks.maySend = [&node](const std::string &instance) { return !node.isPartitionedFromInstances() && node.takesRequests(instance); };
    hooks.connectionOpened = [&node](const std::string &host, SteadyTime at) { node.recordConnected(host, at); };
    hooks.responded = [&node](const std::string &instance, const HttpResponse &response) { node.noticedForOtherVm(instance, response); };
    hooks.connectFailed = [&node](const std::string &instance, std::chrono::microseconds latency) { node.connectFailedForOtherVm(instance, latency); };
    return hooks;
}

InstancePathProbe::Hooks probeHooks(EntryNode &node, ForwardingNode::ConnectionProbe canConnect)
{
    InstancePathProbe::Hooks hooks;
    hooks.isPartitioned = [&node] { return node.isPartitionedFromInstances(); };
    hooks.chooseInstance = [&node]() -> std::optional<InstancePathProbe::Address> {
        const std::optional<hyssophall::fleet::v1::Instance> instance = node.randomInstance();
        return instance ? std::optional<InstancePathProbe::Address>({instance->host(), static_cast<std::uint16_t>(instance->port())}) : std::nullopt;
    };
    hooks.canConnect = std::move(canConnect);
    hooks.connected = [&node](const std::string &host) { node.recordConnected(host, std::chrono::steady_clock::now()); };
    return hooks;
}

} // namespace

boost::leaf::result<std::unique_ptr<ForwardingNode>> ForwardingNode::create(
    const Settings &settings, EntryNode &node, UpstreamSender &direct, ConnectionProbe canConnect)
{
    std::unique_ptr<ForwardingNode> created(new ForwardingNode(settings, node, direct, std::move(canConnect)));
    CallerEndpoint::Options options;
    options.endpoint = settings.listen.fleet;
    options.maximumRequestBytes = settings.limits.maximumRequestBytes + headerBytes;
    BOOST_LEAF_ASSIGN(
        created->endpoint, CallerEndpoint::create(options, [raw = created.get()](const CallerRequest &request) { return raw->service.handle(request); }));
    node.setForwardingAddress(settings.listen.fleet.host, created->endpoint->port());
    return created;
}

ForwardingNode::ForwardingNode(const Settings &settings, EntryNode &node, UpstreamSender &direct, ConnectionProbe canConnect)
    : node(node)
    , client(clientOptions(settings))
    , upstreamSender(direct, this->client, node.otherVms(), [&node] { return node.isPartitionedFromInstances(); })
    , service(settings.fleet.secret, direct, serviceHooks(node))
    , probe(probeHooks(node, std::move(canConnect)))
{
    node.setPathChanged([this](bool isPartitioned) {
        if (isPartitioned) {
            this->probe.wake();
        }
    });
}

ForwardingNode::~ForwardingNode()
{
    this->node.setPathChanged(nullptr);
}

ForwardingSender &ForwardingNode::sender()
{
    return this->upstreamSender;
}

void ForwardingNode::stopAccepting()
{
    this->service.stopAccepting();
    this->node.clearForwardingAddress();
}

bool ForwardingNode::waitUntilIdle(std::chrono::milliseconds limit)
{
    const SteadyTime end = std::chrono::steady_clock::now() + limit;
    if (!this->service.waitUntilIdle(limit)) {
        return false;
    }
    // The last responses may still be on their way out.
    const std::chrono::milliseconds remaining = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    return this->endpoint->waitUntilIdle(std::max(std::chrono::milliseconds(0), remaining));
}

std::uint64_t ForwardingNode::acceptedCount() const
{
    return this->service.acceptedCount();
}

} // namespace Hyssophall
