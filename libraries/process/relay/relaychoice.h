#pragma once

#include "process/hooks.h"
#include "relay.pb.h"

#include <chrono>
#include <string>
#include <vector>

namespace Hyssophall {

namespace RelayMessages = hyssophall::relay::v1;

/// Which relay a VM connects to, by what the relays tell of each other and by its own failures. Not thread-safe.
class RelayChoice
{
public:
    RelayChoice(std::string failureDomain, const std::vector<std::string> &seeds);

    /// Takes what a relay tells of itself or another one.
    void learn(const RelayMessages::RelayAddress &told);

    /// The relay to connect to next: one that isn't left alone after a failure, that others hear, and that is near; the rest by chance.
    std::string next(SteadyTime now, const RandomSource &random) const;

    /// A connection to the relay has failed or ended: it is left alone, longer each time.
    void noteFailure(const std::string &address, SteadyTime now);

    /// A connection to the relay brought news.
    void noteSuccess(const std::string &address);

    /// The relay is left alone though it answers, since it is out of date.
    void avoid(const std::string &address, std::chrono::milliseconds duration, SteadyTime now);

    /// Whether another relay can be tried at once. A relay that is cut off hears none of the others, so its word on them doesn't count.
    bool hasOther(const std::string &address, SteadyTime now) const;

    /// Whether the VM is connected across failure domains while a relay of its own is known to be in touch.
    bool shouldMoveHome(const std::string &connectedTo, SteadyTime now) const;

private:
    struct Relay {
        std::string address;
        std::string failureDomain;
        /// Whether the relay that told of it hears it; unknown ones are worth a try.
        bool inTouch = true;
        SteadyTime avoidedUntil;
        std::chrono::milliseconds failureHold{0};
    };

    Relay *find(const std::string &address);
    bool isHome(const Relay &relay) const;

    const std::string failureDomain;
    std::vector<Relay> relays;
};

} // namespace Hyssophall
