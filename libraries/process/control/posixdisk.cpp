#include "process/control/posixdisk.h"

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace Hyssophall {

namespace {

boost::leaf::error_id operationFailure(const std::string &name)
{
    return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, name});
}

bool writeAll(int descriptor, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t written = ::write(descriptor, bytes.data() + done, bytes.size() - done);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(written);
    }
    return true;
}

} // namespace

PosixDisk::PosixDisk(std::string folder)
    : folder(std::move(folder))
{
    std::error_code ignored;
    std::filesystem::create_directories(this->folder, ignored);
}

std::string PosixDisk::path(const std::string &name) const
{
    return this->folder + "/" + name;
}

boost::leaf::result<std::optional<std::string>> PosixDisk::read(const std::string &name)
{
    std::error_code error;
    const bool exists = std::filesystem::exists(this->path(name), error);
    if (error) {
        return operationFailure(name);
    }
    if (!exists) {
        return std::optional<std::string>();
    }
    std::ifstream stream(this->path(name), std::ios::binary);
    std::string bytes;
    std::array<char, 65536> part{};
    // After an I/O error, read() sets bad(); an istreambuf_iterator would throw instead.
    while (stream.read(part.data(), part.size()) || stream.gcount() > 0) {
        bytes.append(part.data(), static_cast<std::size_t>(stream.gcount()));
    }
    if (!stream.is_open() || stream.bad()) {
        return operationFailure(name);
    }
    return std::optional<std::string>(std::move(bytes));
}

boost::leaf::result<void> PosixDisk::writeWithFlags(const std::string &name, const std::string &bytes, int flags)
{
    const int descriptor = ::open(this->path(name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | flags, 0600);
    if (descriptor < 0) {
        return operationFailure(name);
    }
    const bool written = writeAll(descriptor, bytes);
    if (::close(descriptor) != 0 || !written) {
        return operationFailure(name);
    }
    return {};
}

boost::leaf::result<void> PosixDisk::write(const std::string &name, const std::string &bytes)
{
    return this->writeWithFlags(name, bytes, O_TRUNC);
}

boost::leaf::result<void> PosixDisk::append(const std::string &name, const std::string &bytes)
{
    return this->writeWithFlags(name, bytes, O_APPEND);
}

boost::leaf::result<void> PosixDisk::truncate(const std::string &name, std::uint64_t size)
{
    if (::truncate(this->path(name).c_str(), static_cast<off_t>(size)) != 0) {
        return operationFailure(name);
    }
    return {};
}

boost::leaf::result<void> PosixDisk::syncPath(const std::string &target, int flags, const std::string &name)
{
    const int descriptor = ::open(target.c_str(), flags | O_CLOEXEC);
    if (descriptor < 0) {
        return operationFailure(name);
    }
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    if (!synced) {
        return operationFailure(name);
    }
    return {};
}

boost::leaf::result<void> PosixDisk::sync(const std::string &name)
{
    return this->syncPath(this->path(name), O_RDWR, name);
}

boost::leaf::result<void> PosixDisk::rename(const std::string &from, const std::string &to)
{
    if (std::rename(this->path(from).c_str(), this->path(to).c_str()) != 0) {
        return operationFailure(from);
    }
    return {};
}

boost::leaf::result<void> PosixDisk::remove(const std::string &name)
{
    if (::unlink(this->path(name).c_str()) != 0 && errno != ENOENT) {
        return operationFailure(name);
    }
    return {};
}

boost::leaf::result<void> PosixDisk::syncFolder()
{
    if (!this->parentSynced) {
        // The entry of a new folder is durable only once its parent folder is synced too.
        const std::string parent = std::filesystem::path(this->folder).parent_path().string();
        BOOST_LEAF_CHECK(this->syncPath(parent.empty() ? "." : parent, O_RDONLY | O_DIRECTORY, parent));
        this->parentSynced = true;
    }
    return this->syncPath(this->folder, O_RDONLY | O_DIRECTORY, this->folder);
}

} // namespace Hyssophall
