#pragma once

#include "process/control/disk.h"

namespace Hyssophall {

/// The files of a folder. The constructor creates the folder and its parents where they don't exist.
class PosixDisk : public Disk
{
public:
    explicit PosixDisk(std::string folder);

    boost::leaf::result<std::optional<std::string>> read(const std::string &name) override;
    boost::leaf::result<void> write(const std::string &name, const std::string &bytes) override;
    boost::leaf::result<void> append(const std::string &name, const std::string &bytes) override;
    boost::leaf::result<void> truncate(const std::string &name, std::uint64_t size) override;
    boost::leaf::result<void> sync(const std::string &name) override;
    boost::leaf::result<void> rename(const std::string &from, const std::string &to) override;
    boost::leaf::result<void> remove(const std::string &name) override;
    boost::leaf::result<void> syncFolder() override;

private:
    std::string path(const std::string &name) const;
    boost::leaf::result<void> writeWithFlags(const std::string &name, const std::string &bytes, int flags);
    boost::leaf::result<void> syncPath(const std::string &target, int flags, const std::string &name);

    const std::string folder;
    bool parentSynced = false;
};

} // namespace Hyssophall
