#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssophall {

/// Failure detector's verdict on a member of the roster, from the messages that this VM received.
enum class Liveness {
    Alive,
    Suspect,
    Dead,
    /// The member has reported that it is shutting down.
    Leaving,
};

/// Read access to the members of the roster and their liveness. Thread-safe, non-blocking.
class MemberView
{
public:
    struct MemberStatus {
        std::string id;
        std::string address;
        std::string failureDomain;
        Liveness liveness = Liveness::Dead;
        /// Zero until the first state of the member arrives, and after a restart until its new state arrives.
        std::uint64_t incarnation = 0;
        std::uint64_t catalogueVersion = 0;
    };

    virtual ~MemberView() = default;

    /// Ids of the members that are alive or suspect, this VM among them, in ascending order.
    virtual std::vector<std::string> liveMembers() const = 0;

    /// Address of a member's fleet port, or an empty string if the id isn't in the roster.
    virtual std::string addressOf(const std::string &memberId) const = 0;

    virtual std::vector<MemberStatus> members() const = 0;
};

} // namespace Hyssophall
