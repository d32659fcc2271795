#pragma once

#include "control.pb.h"
#include "process/hooks.h"

#include <boost/leaf/result.hpp>

namespace Hyssophall {

namespace ControlMessages = hyssophall::control::v1;

/// The control group gave no decision.
struct ControlUnavailable {
    enum class Reason {
        /// No replica with a quorum was reached: the change was not accepted.
        NoQuorum,
        /// The change may or may not have been accepted; a resend with the same change id gives the answer.
        Unknown,
    };
    Reason reason;
};

/// Interface to the control group, for the administration API. Thread-safe; calls block until the deadline at most.
class ChangeProposer
{
public:
    virtual ~ChangeProposer() = default;

    /// Has a catalogue change decided by the group's leader, wherever it is. Errors: ControlUnavailable.
    virtual boost::leaf::result<ControlMessages::ChangeOutcome> propose(const ControlMessages::CatalogueChange &change, SteadyTime deadline) = 0;

    /// Adds or replaces a replica; it votes once it has caught up. Errors: ControlUnavailable.
    virtual boost::leaf::result<ControlMessages::ChangeOutcome> putReplica(const ControlMessages::Replica &replica, SteadyTime deadline) = 0;

    /// Errors: ControlUnavailable.
    virtual boost::leaf::result<ControlMessages::ChangeOutcome> removeReplica(const std::string &replicaId, SteadyTime deadline) = 0;

    /// State of the replica that answers first, the local one where there is one. Errors: ControlUnavailable.
    virtual boost::leaf::result<ControlMessages::StatusReply> status(SteadyTime deadline) = 0;
};

} // namespace Hyssophall
