#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Hyssophall {

/// The disk of a replica can't be used. Sources: Disk and LogStorage.
struct StorageFault {
    enum class Kind {
        /// An operation failed; what it was to make durable may or may not be on the disk.
        Failed,
        /// Bytes that were durable have changed or are missing.
        Corrupted,
    };
    Kind kind;
    std::string file;
};

/**
 * The file operations of a replica, in one folder. Names have no path.
 *
 * Content is durable after sync() of the file, a name after syncFolder(). Each operation fails with StorageFault.
 */
class Disk
{
public:
    virtual ~Disk() = default;

    /// The whole content, or nothing when there is no such file.
    virtual boost::leaf::result<std::optional<std::string>> read(const std::string &name) = 0;

    /// Creates the file, or replaces its content.
    virtual boost::leaf::result<void> write(const std::string &name, const std::string &bytes) = 0;

    virtual boost::leaf::result<void> append(const std::string &name, const std::string &bytes) = 0;
    virtual boost::leaf::result<void> truncate(const std::string &name, std::uint64_t size) = 0;
    virtual boost::leaf::result<void> sync(const std::string &name) = 0;
    virtual boost::leaf::result<void> rename(const std::string &from, const std::string &to) = 0;

    /// Removing a file that doesn't exist succeeds.
    virtual boost::leaf::result<void> remove(const std::string &name) = 0;
    virtual boost::leaf::result<void> syncFolder() = 0;
};

} // namespace Hyssophall
