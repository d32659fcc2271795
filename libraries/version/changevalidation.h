#pragma once

#include "version/catalogue.h"

#include <optional>

namespace Hyssophall {

/// The first fault of an entry by itself, whatever else the catalogue holds, or nothing.
std::optional<InvalidChange> findFault(const CatalogueMessages::Service &service);
std::optional<InvalidChange> findFault(const CatalogueMessages::Route &route);
std::optional<InvalidChange> findFault(const CatalogueMessages::Team &team);
std::optional<InvalidChange> findFault(const CatalogueMessages::Key &key);
std::optional<InvalidChange> findFault(const CatalogueMessages::Member &member);

} // namespace Hyssophall
