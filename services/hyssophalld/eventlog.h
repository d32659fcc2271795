#pragma once

#include "process/cataloguestore.h"
#include "process/fleet/recordstore.h"

namespace Hyssophall {

/// Logs each new catalogue version, state of an instance, ejection and poison request, so that operators can trace them.
/// Call it before the threads of the records start.
void logFleetEvents(CatalogueStore &store, RecordStore &records);

} // namespace Hyssophall
