#pragma once

#include "catalogue.pb.h"
#include "version/catalogue.h"

#include <boost/leaf/result.hpp>

#include <cstdint>

namespace Hyssophall {

/// The catalogue as the state that the control log's entries change. Not thread-safe.
class CatalogueMachine
{
public:
    virtual ~CatalogueMachine() = default;

    virtual std::uint64_t version() const = 0;

    /// Makes the next version. Errors: InvalidChange; the catalogue is unchanged then.
    virtual boost::leaf::result<void> apply(const CatalogueMessages::Change &change) = 0;
    virtual CatalogueMessages::Snapshot snapshot() const = 0;

    /// Errors: InvalidChange.
    virtual boost::leaf::result<void> restore(const CatalogueMessages::Snapshot &snapshot) = 0;
};

} // namespace Hyssophall
