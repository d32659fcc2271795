#pragma once

#include "process/forwarding/forwardingclient.h"
#include "process/forwarding/forwardingsender.h"
#include "process/forwarding/forwardingservice.h"
#include "process/forwarding/instancepathprobe.h"
#include "process/proxy/callerendpoint.h"
#include "process/relay/entrynode.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace Hyssophall {

/// Both sides of forwarding on an entry VM: sends its requests through other VMs while it is partitioned from all instances, and sends those of
/// other VMs. Thread-safe.
class ForwardingNode
{
public:
    /// Whether a connection to an instance can be established; tests simulate it.
    using ConnectionProbe = std::function<bool(const InstancePathProbe::Address &)>;

    /// Opens the fleet port. @p node and @p direct must outlive the result. Errors: EndpointFailure.
    static boost::leaf::result<std::unique_ptr<ForwardingNode>> create(
        const Settings &settings, EntryNode &node, UpstreamSender &direct, ConnectionProbe canConnect);
    ~ForwardingNode();

    /// Sends the tries of this VM's requests.
    ForwardingSender &sender();

    /// From now on accepts no requests of other VMs, and lets them know.
    void stopAccepting();

    /// Waits until no request of another VM is in flight, or for @p limit. Returns whether none is.
    bool waitUntilIdle(std::chrono::milliseconds limit);

    /// Number of requests of other VMs that this VM accepted since the start.
    std::uint64_t acceptedCount() const;

private:
    ForwardingNode(const Settings &settings, EntryNode &node, UpstreamSender &direct, ConnectionProbe canConnect);

    EntryNode &node;
    ForwardingClient client;
    ForwardingSender upstreamSender;
    ForwardingService service;
    InstancePathProbe probe;
    /// Declared last, since its threads use the service.
    std::unique_ptr<CallerEndpoint> endpoint;
};

} // namespace Hyssophall
