#pragma once

#include "connection/upstreamsender.h"
#include "process/forwarding/forwardingclient.h"
#include "process/forwarding/vmdirectory.h"

#include <atomic>
#include <cstdint>
#include <functional>

namespace Hyssophall {

/**
 * Sends tries to instances: itself, or through another VM while this VM is partitioned from all instances.
 *
 * A request takes one other VM on its way, never two. If no other VM accepts it, the try fails at once as not sent. Thread-safe.
 */
class ForwardingSender : public UpstreamSender
{
public:
    /// @p direct, @p client and @p directory must outlive the sender.
    ForwardingSender(UpstreamSender &direct, ForwardingClient &client, VmDirectory &directory, std::function<bool()> isPartitioned);

    UpstreamResult send(const UpstreamCall &call) override;

    /// Number of tries that another VM accepted since the start.
    std::uint64_t forwardedCount() const;

private:
    UpstreamResult sendThroughOtherVm(const UpstreamCall &call);

    UpstreamSender &direct;
    ForwardingClient &client;
    VmDirectory &directory;
    const std::function<bool()> isPartitioned;
    std::atomic<std::uint64_t> forwarded{0};
};

} // namespace Hyssophall
