#pragma once

namespace Hyssophall {

/// Interface to this VM's right to serve requests that need a key.
class ServingLease
{
public:
    virtual ~ServingLease() = default;

    /// False while this VM can't prove that its key table is fresh. Thread-safe, non-blocking.
    virtual bool isHeld() const = 0;
};

} // namespace Hyssophall
