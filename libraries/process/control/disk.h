#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Hyssophall {

/// A replica's disk can't be used. Returned by Disk and LogStorage.
struct StorageError {
    enum class Kind {
        /// An operation failed. Its effect may or may not be on the disk.
        Failed,
        /// Bytes that were synced have changed or are missing.
        Corrupted,
    };
    Kind kind;
    std::string file;
};

/**
 * File operations in the folder of a replica. Names are file names without a path.
 *
 * Content is durable after sync() of the file. A created, renamed or removed name is durable after syncFolder(). Errors: StorageError.
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

    /// Succeeds also when there is no such file.
    virtual boost::leaf::result<void> remove(const std::string &name) = 0;
    virtual boost::leaf::result<void> syncFolder() = 0;
};

} // namespace Hyssophall
