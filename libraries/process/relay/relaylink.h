#pragma once

#include "process/relay/relayexchange.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace Hyssophall {

/// The connecting end of a stream of news to one relay.
class RelayLink
{
public:
    struct Options {
        /// Fleet address of the relay.
        std::string address;
        std::string fleetSecret;
        RelayExchange::Timing timing;
        /// A relay that doesn't accept the connection within this time is passed over: a hundred round trips between failure domains, since
        /// a relay that starts has many VMs to accept.
        std::chrono::milliseconds connectLimit{250};
    };

    RelayLink(Options options, RelayExchange::Hooks hooks);

    /// Connects, sends @p first and then what is in @p outgoing. Returns when the connection has ended; false when nothing ever came on it.
    bool run(const RelayMessages::News &first, NewsBuffer &outgoing);

    /// Ends run() from another thread, also one that begins later.
    void cancel();

private:
    class Call;
    class BeginningLimit;

    const Options options;
    const RelayExchange::Hooks hooks;
    std::mutex mutex;
    bool cancelled = false;
    Call *call = nullptr;
};

} // namespace Hyssophall
