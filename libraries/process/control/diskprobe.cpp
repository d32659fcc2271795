#include "process/control/diskprobe.h"

#include <cstddef>

namespace Hyssophall {

namespace {

const std::string probeName = "probe";
constexpr std::size_t probeBytes = 64 * 1024;

} // namespace

bool DiskProbe::isWritable(Disk &disk)
{
    // Removed also when only a part could be written: otherwise the probe would take the last room on the disk.
    const bool isWritten = disk.write(probeName, std::string(probeBytes, 'x')) && disk.sync(probeName);
    const bool isRemoved = static_cast<bool>(disk.remove(probeName));
    return isWritten && isRemoved;
}

} // namespace Hyssophall
