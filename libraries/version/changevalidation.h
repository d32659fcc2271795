#pragma once

#include "version/catalogue.h"

#include <optional>

namespace Hyssophall {

/// The first invalid field of an entry, or nothing. Checks the entry on its own; Catalogue::applied() checks references to other entries.
std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Service &service);
std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Route &route);
std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Team &team);
std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Key &key);
std::optional<InvalidChange> findInvalidField(const CatalogueMessages::Member &member);

} // namespace Hyssophall
