#pragma once

#include "process/hooks.h"
#include "relay.pb.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace Hyssophall {

namespace RelayMessages = hyssophall::relay::v1;

/**
 * Ends of tries whose start a VM has reported to another relay, before it moved to this one.
 *
 * The other relay holds starts back, so the receivers might hear of the end first, drop it since there is nothing to end, and count the start for as long
 * as a request may take. Such ends are therefore told later than the other relay tells of the starts. Not thread-safe.
 */
class LateEnds
{
public:
    /// Identifies the stream of a VM. Never dereferenced.
    using Stream = const void *;
    using Outcomes = google::protobuf::RepeatedPtrField<RelayMessages::InstanceOutcomes>;

    /// Ends that may be told now to all but the VM of the stream, which is null if that has ended.
    struct Due {
        Stream stream = nullptr;
        RelayMessages::Update update;
    };

    /// Counts the starts in the outcomes that a VM reports, and marks the ends that have no start on its stream as late.
    void mark(Stream stream, Outcomes &outcomes, SteadyTime now);

    /// Must be called when a stream ends.
    void endStream(Stream stream);

    /// Returns the late ends whose time has come, oldest first.
    std::vector<Due> takeDue(SteadyTime now);

private:
    struct Pending {
        SteadyTime dueAt;
        Stream stream = nullptr;
        std::uint32_t instance = 0;
        std::uint32_t count = 0;
    };

    /// Tries in flight that were started on each stream, by instance.
    std::map<Stream, std::map<std::uint32_t, std::uint32_t>> started;
    /// Oldest first.
    std::deque<Pending> pending;
};

} // namespace Hyssophall
