#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Hyssophall {

/// How a member of the roster looks from this VM.
enum class Liveness {
    Alive,
    Suspect,
    Dead,
    /// Said by itself that it is shutting down.
    Leaving,
};

/// Interface to the gossip membership. Thread-safe, non-blocking.
class MemberView
{
public:
    struct MemberStatus {
        std::string id;
        std::string address;
        std::string failureDomain;
        Liveness liveness = Liveness::Dead;
        /// Zero until first heard of.
        std::uint64_t incarnation = 0;
        std::uint64_t catalogueVersion = 0;
    };

    virtual ~MemberView() = default;

    /// Ids of the members that are alive or suspect, this VM among them, in ascending order.
    virtual std::vector<std::string> liveMembers() const = 0;

    /// Address of a member's fleet port, or an empty string when it isn't in the roster.
    virtual std::string addressOf(const std::string &memberId) const = 0;

    virtual std::vector<MemberStatus> members() const = 0;
};

} // namespace Hyssophall
