#pragma once

#include "process/control/disk.h"

namespace Hyssophall {

/// Finds out whether a disk that failed can be written again.
class DiskProbe
{
public:
    /// Writes, syncs and removes a file of 64 KB. Smaller writes may still succeed on a disk that is nearly full.
    static bool isWritable(Disk &disk);
};

} // namespace Hyssophall
