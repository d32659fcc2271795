#include "process/cataloguefile.h"

#include <boost/leaf/error.hpp>
#include <xxhash.h>

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <string_view>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace Hyssophall {

namespace leaf = boost::leaf;

namespace {

using Reason = CatalogueFileError::Reason;

constexpr std::string_view magic = "HYCATAL1";
constexpr std::size_t numberSize = 8;
constexpr std::size_t headerSize = magic.size() + 2 * numberSize;

/// Little-endian, so that a data folder can move between machines.
std::string encodeNumber(std::uint64_t number)
{
    std::string bytes;
    for (std::size_t index = 0; index < numberSize; ++index) {
        bytes += static_cast<char>(number >> (8 * index) & 0xffU);
    }
    return bytes;
}

std::uint64_t decodeNumber(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (std::size_t index = numberSize; index > 0; --index) {
        number = number << 8U | static_cast<std::uint8_t>(bytes[index - 1]);
    }
    return number;
}

/// An open file that is closed at the end of the scope.
class Descriptor
{
public:
    Descriptor(const std::string &path, int flags)
        : number(open(path.c_str(), flags | O_CLOEXEC, S_IRUSR | S_IWUSR))
    {
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    ~Descriptor()
    {
        if (this->number >= 0) {
            close(this->number);
        }
    }

    bool isOpen() const
    {
        return this->number >= 0;
    }

    bool writeAll(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(this->number, bytes.data(), bytes.size());
            if (written < 0 && errno != EINTR) {
                return false;
            }
            bytes.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
        }
        return true;
    }

    bool sync() const
    {
        return fsync(this->number) == 0;
    }

private:
    int number;
};

bool writeSynced(const std::string &path, const std::string &content)
{
    const Descriptor file(path, O_WRONLY | O_CREAT | O_TRUNC);
    return file.isOpen() && file.writeAll(content) && file.sync();
}

bool syncFolder(const std::string &folder)
{
    const Descriptor descriptor(folder, O_RDONLY | O_DIRECTORY);
    return descriptor.isOpen() && descriptor.sync();
}

bool isWhole(std::string_view content)
{
    if (content.size() < headerSize || content.substr(0, magic.size()) != magic) {
        return false;
    }
    const std::string_view body = content.substr(headerSize);
    return decodeNumber(content.substr(magic.size())) == body.size()
        && decodeNumber(content.substr(magic.size() + numberSize)) == XXH64(body.data(), body.size(), 0);
}

} // namespace

CatalogueFile::CatalogueFile(const std::string &dataFolder)
    : folder(dataFolder)
    , path(dataFolder + "/catalogue")
{
}

leaf::result<void> CatalogueFile::write(const CatalogueMessages::Snapshot &snapshot) const
{
    const std::string body = snapshot.SerializeAsString();
    const std::string content = std::string(magic) + encodeNumber(body.size()) + encodeNumber(XXH64(body.data(), body.size(), 0)) + body;
    const std::string unfinished = this->path + ".new";
    const bool isWritten = writeSynced(unfinished, content) && std::rename(unfinished.c_str(), this->path.c_str()) == 0 && syncFolder(this->folder);
    if (!isWritten) {
        return leaf::new_error(CatalogueFileError{Reason::InputOutput, this->path, errno});
    }
    return {};
}

leaf::result<CatalogueMessages::Snapshot> CatalogueFile::read() const
{
    errno = 0;
    std::ifstream stream(this->path, std::ios::binary);
    if (!stream) {
        return leaf::new_error(CatalogueFileError{errno == ENOENT ? Reason::Missing : Reason::InputOutput, this->path, errno});
    }
    std::ostringstream text;
    text << stream.rdbuf();
    if (stream.bad()) {
        return leaf::new_error(CatalogueFileError{Reason::InputOutput, this->path, errno});
    }
    const std::string content = text.str();
    CatalogueMessages::Snapshot snapshot;
    if (!isWhole(content) || !snapshot.ParseFromArray(content.data() + headerSize, static_cast<int>(content.size() - headerSize))) {
        return leaf::new_error(CatalogueFileError{Reason::Corrupted, this->path, 0});
    }
    return snapshot;
}

const std::string &CatalogueFile::file() const
{
    return this->path;
}

} // namespace Hyssophall
