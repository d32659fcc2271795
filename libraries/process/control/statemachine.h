#pragma once

#include "catalogue.pb.h"
#include "version/catalogue.h"

#include <boost/leaf/result.hpp>

#include <cstdint>

namespace Hyssophall {

/// State machine that ControlState applies the catalogue changes of the replicated log to. Not thread-safe.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    virtual std::uint64_t version() const = 0;

    /// Applies a committed change. Errors: InvalidChange, and the state is unchanged.
    virtual boost::leaf::result<void> apply(const CatalogueMessages::Change &change) = 0;
    virtual CatalogueMessages::Snapshot snapshot() const = 0;

    /// Replaces the state by the snapshot's. Errors: InvalidChange.
    virtual boost::leaf::result<void> restore(const CatalogueMessages::Snapshot &snapshot) = 0;
};

} // namespace Hyssophall
