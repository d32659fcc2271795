#pragma once

#include "process/relay/relayexchange.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace Hyssophall {

/// The connecting end of a stream of updates to one relay.
class RelayLink
{
public:
    struct Options {
        /// Fleet address of the relay.
        std::string address;
        std::string fleetSecret;
        RelayExchange::Timing timing;
        /// Time limit for the connection and, again, for the start of the stream. It is a hundred round trips between failure domains, since
        /// a relay that has just started must accept the connections of many VMs.
        std::chrono::milliseconds connectTimeout{250};
        /// Whether messages to the relay are compressed, since they cross failure domains.
        bool compresses = false;
    };

    RelayLink(Options options, RelayExchange::Hooks hooks);

    /// Connects, sends @p first and then the content of @p outgoing. Returns when the connection has ended: true when at least one message was
    /// received on it.
    bool run(const RelayMessages::Update &first, UpdateBuffer &outgoing);

    /// Ends run() from another thread. A call of run() that begins later ends as well.
    void cancel();

private:
    class Call;
    class StartTimeout;

    const Options options;
    const RelayExchange::Hooks hooks;
    SilenceMonitor silenceMonitor;
    std::mutex mutex;
    bool cancelled = false;
    Call *call = nullptr;
};

} // namespace Hyssophall
