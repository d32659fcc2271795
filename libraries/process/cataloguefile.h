#pragma once

#include "version/catalogue.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>

namespace Hyssophall {

/// Why the copy of the catalogue on disk wasn't read or written.
struct CatalogueFileError {
    enum class Reason {
        /// There is no copy yet.
        Missing,
        /// Length, checksum or contents don't fit; the copy must not be used.
        Corrupted,
        /// The operating system refused; systemError says why.
        InputOutput,
    };
    Reason reason = Reason::InputOutput;
    std::string file;
    /// The value of errno, or zero.
    int systemError = 0;
};

/**
 * The copy of the catalogue that a VM with a data folder starts from.
 *
 * The file holds a magic word, the length and the XXH64 of a serialized Snapshot, then the Snapshot. It is replaced in one step by a
 * synced file, so a crash leaves the former copy or the new one. One thread at a time calls write().
 */
class CatalogueFile
{
public:
    /// @p dataFolder exists.
    explicit CatalogueFile(const std::string &dataFolder);

    /// Errors: CatalogueFileError.
    boost::leaf::result<void> write(const CatalogueMessages::Snapshot &snapshot) const;

    /// Errors: CatalogueFileError.
    boost::leaf::result<CatalogueMessages::Snapshot> read() const;

    const std::string &file() const;

private:
    std::string folder;
    std::string path;
};

} // namespace Hyssophall
