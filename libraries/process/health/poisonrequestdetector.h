#pragma once

#include "process/health/expiringtable.h"
#include "process/hooks.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <vector>

namespace Hyssophall {

/**
 * Detects poison requests, which crash each instance that runs them, by the connections that were lost after the same request was sent.
 *
 * Connections are lost for other reasons, too. A loss of a request on an instance is therefore withdrawn when
 * - the instance has responded to anybody since: a crashed one doesn't, and has another handle after its restart;
 * - any VM has had a response to the same request since;
 * and it doesn't count in the first place when the instance had already lost the connection of another request 1.5 s or more before this one
 * was sent, and hadn't responded since.
 *
 * A power failure, a reset of all connections or a crash of many instances ends many copies of one request at once. Losses are therefore
 * counted by rounds: the round of a loss is one more than the highest round that its sender knew of when it sent the request, so copies
 * that were in flight at the same time can't build on each other. A request is poison after losses of three rounds on three instances.
 * This needs no clock that the VMs share, and late, repeated or missing reports never make it count more rounds than there were.
 *
 * Thread-safe.
 */
class PoisonRequestDetector
{
public:
    /// Number of rounds, on as many instances, in which a request's connection must have been lost before it is poison.
    static constexpr std::size_t poisonThreshold = 3;

    /// Time after which a loss no longer counts, so that a request is no longer poison either.
    static constexpr std::chrono::seconds retention{30};

    /// Reports of responses arrive up to this much later than those of losses, which are sent at once: VMs and relays hold them together for up
    /// to 1 s across failure domains. So a response that is heard of within this time after a loss may be older than the loss.
    static constexpr std::chrono::milliseconds outcomeDelay{1500};

    /// Time after a loss in which an instance that works responds to anybody and the report arrives.
    static constexpr std::chrono::milliseconds settlingTime{2000};

    /// Time after a response to a request in which losses of the same request don't count, since their reports may be late.
    static constexpr std::chrono::seconds responseValidity{10};

    /// Shortest time between two reports of responses to the same request.
    static constexpr std::chrono::seconds reportInterval{1};

    static constexpr std::size_t maximumRequests = 4096;
    static constexpr std::size_t maximumInstances = 4096;
    static constexpr std::size_t maximumLosses = 16;

    enum class State {
        Unsuspected,
        /// Its losses would make it poison, but the last of them are too recent to know whether their instances still respond.
        Suspected,
        Poison,
    };

    struct Judgement {
        State state = State::Unsuspected;
        /// Time until a suspected request is judged again.
        std::chrono::milliseconds remaining{0};
    };

    /// A loss that counts at present.
    struct Loss {
        std::uint32_t instance = 0;
        std::uint32_t round = 0;
        SteadyTime heardAt;
        /// Whether this VM sent the request.
        bool isOwn = false;
    };

    PoisonRequestDetector();

    /// Adds a loss of this VM. Returns what to report to the other VMs: a loss of each earlier round, for VMs that missed its report, and this one
    /// as the last. Nothing if it isn't evidence against the request.
    std::vector<Loss> addOwnLoss(std::uint64_t fingerprint, std::uint32_t instance, SteadyTime sentAt, SteadyTime now);

    /// Adds a loss that another VM has reported. Returns true if this VM must report its response to the same request to the other VMs.
    bool addReportedLoss(std::uint64_t fingerprint, std::uint32_t instance, std::uint32_t round, SteadyTime now);

    /// Withdraws the losses of a request that got a response on this VM. Returns true if this VM must report it to the other VMs.
    bool addResponse(std::uint64_t fingerprint, SteadyTime now);

    /// Withdraws the losses of a request that got a response on another VM.
    void addReportedResponse(std::uint64_t fingerprint, SteadyTime now);

    /// Whether responses of instances are to be reported by addInstanceResponses(). Takes no lock.
    bool holdsLosses() const;

    /// Records that these instances have responded to any VM, as heard at this time.
    void addInstanceResponses(const std::vector<std::uint32_t> &instances, SteadyTime heardAt);

    Judgement judge(std::uint64_t fingerprint, SteadyTime now) const;

    /// The losses that count against the request at present.
    std::vector<Loss> standingLosses(std::uint64_t fingerprint, SteadyTime now) const;

private:
    struct Request {
        std::vector<Loss> losses;
        std::optional<SteadyTime> respondedAt;
        /// When this VM last had a response itself.
        std::optional<SteadyTime> ownResponseAt;
        /// When a loss of a later round than the first was last heard of: other VMs hold losses of this request.
        std::optional<SteadyTime> laterRoundAt;
        /// When this or another VM last reported a response.
        std::optional<SteadyTime> reportedAt;
    };

    struct Instance {
        std::optional<SteadyTime> respondedAt;
        /// The first loss since the last response of the instance.
        std::optional<SteadyTime> failingSince;
        std::uint64_t failingRequest = 0;
    };

    void addLoss(std::uint64_t fingerprint, const Loss &loss);
    void recordFailing(std::uint64_t fingerprint, std::uint32_t instance, SteadyTime now);
    bool stands(const Loss &loss, SteadyTime now) const;
    static bool hasResponded(const Request &request, SteadyTime now);
    static bool mustReport(Request &request, SteadyTime now);

    mutable std::mutex mutex;
    ExpiringTable<std::uint64_t, Request> requests;
    ExpiringTable<std::uint32_t, Instance> instances;
    std::atomic<bool> hasLosses = false;
};

} // namespace Hyssophall
