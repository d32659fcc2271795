#pragma once

namespace Hyssophall::CommandLine {

/// What the program's exit status says.
enum class ExitCode {
    Done = 0,
    Usage = 1,
    /// Another version is in force, or what was asked for exists already.
    Conflict = 2,
    /// The change or the operator's key was refused.
    Invalid = 3,
    /// No VM or no control group took the request; nothing was changed.
    Unavailable = 4,
    /// The change may or may not have been accepted; resend it with the same --change_id.
    OutcomeUnknown = 5,
    /// The version isn't in force everywhere at the timeout.
    NotYetInForce = 6,
};

} // namespace Hyssophall::CommandLine
