#pragma once

#include "process/cataloguestore.h"
#include "process/fleet/recordstore.h"

namespace Hyssophall {

/// Writes a log line for each change that an operator may look for: catalogue versions, instances, ejections and poison requests.
/// Called before the records' threads start.
void logFleetEvents(CatalogueStore &store, RecordStore &records);

} // namespace Hyssophall
