#pragma once

#include "control.pb.h"
#include "process/hooks.h"

#include <boost/leaf/result.hpp>

namespace Hyssophall {

namespace ControlMessages = hyssophall::control::v1;

/// The control group returned no outcome for a request.
struct ControlUnavailable {
    enum class Reason {
        /// No leader with a quorum was reached: the change was not accepted.
        NoQuorum,
        /// The change may or may not have been accepted; a retry with the same change id returns the outcome.
        Unknown,
    };
    Reason reason;
};

/// Interface to the control group, used by the administration API and by control VMs that join. Thread-safe; calls block until the deadline at most.
class ChangeProposer
{
public:
    virtual ~ChangeProposer() = default;

    /// Sends a catalogue change to the group's leader on any VM and returns the outcome. Errors: ControlUnavailable.
    virtual boost::leaf::result<ControlMessages::ChangeOutcome> propose(const ControlMessages::CatalogueChange &change, SteadyTime deadline) = 0;

    /// Adds or replaces a replica; it votes once it holds all committed entries. Errors: ControlUnavailable.
    virtual boost::leaf::result<ControlMessages::ChangeOutcome> putReplica(const ControlMessages::Replica &replica, SteadyTime deadline) = 0;

    /// Removes a replica from the group. Errors: ControlUnavailable.
    virtual boost::leaf::result<ControlMessages::ChangeOutcome> removeReplica(const std::string &replicaId, SteadyTime deadline) = 0;

    /// State of the local replica if there is one, else of the first replica that replies. Errors: ControlUnavailable.
    virtual boost::leaf::result<ControlMessages::StatusReply> status(SteadyTime deadline) = 0;
};

} // namespace Hyssophall
