#pragma once

namespace Hyssophall {

/// The lease that permits this VM to serve requests that need a key. Without it, a withdrawn key might still be accepted.
class ServingLease
{
public:
    virtual ~ServingLease() = default;

    /// False while this VM can't prove that its key table is up to date. Thread-safe, non-blocking.
    virtual bool isHeld() const = 0;

    /// False while a catalogue that is newer than this VM's may be in force: keys, routes and permissions that this VM lacks may exist. Thread-safe,
    /// non-blocking.
    virtual bool isCatalogueCurrent() const = 0;
};

} // namespace Hyssophall
