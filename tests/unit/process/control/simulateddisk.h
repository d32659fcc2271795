#pragma once

#include "process/control/disk.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>

namespace Hyssophall {

/// A disk in memory. A crash discards a random part of the unsynced data and of the unsynced names; the seed determines which.
class SimulatedDisk : public Disk
{
public:
    explicit SimulatedDisk(std::uint64_t seed)
        : random(seed)
    {
    }

    /// The operation with this number, counted from the call, and all later ones fail until crash().
    void failAt(std::uint64_t operation)
    {
        this->operationsLeft = operation;
    }

    /// Ends failAt() without a loss of power.
    void recover()
    {
        this->operationsLeft = neverFails;
    }

    bool hasFailed() const
    {
        return this->operationsLeft == 0;
    }

    /// Until makeRoom(), writes fail after a random part of their bytes. Names and lengths can still be changed, and files synced.
    void fill()
    {
        this->full = true;
    }

    void makeRoom()
    {
        this->full = false;
    }

    bool isFull() const
    {
        return this->full;
    }

    /// Writes that don't fit into this many bytes of all files together store the part that fits and fail.
    void limitTo(std::size_t bytes)
    {
        this->capacity = bytes;
    }

    /// Bytes of all files.
    std::size_t used() const
    {
        std::size_t bytes = 0;
        for (const auto &[name, file] : this->names) {
            bytes += file->current.size();
        }
        return bytes;
    }

    void crash()
    {
        this->operationsLeft = neverFails;
        if (this->random() % 2 == 0) {
            this->names = this->durableNames;
        }
        std::map<std::string, std::shared_ptr<File>> kept;
        for (const auto &[name, file] : this->names) {
            const bool extended = file->current.compare(0, file->synced.size(), file->synced) == 0;
            if (extended) {
                const std::size_t unsynced = file->current.size() - file->synced.size();
                file->current.resize(file->synced.size() + this->random() % (unsynced + 1));
                if (file->current.size() > file->synced.size() && this->random() % 2 == 0) {
                    file->current.back() = static_cast<char>(~file->current.back());
                }
            } else if (this->random() % 2 == 0) {
                file->current = file->synced;
            }
            kept[name] = std::make_shared<File>(File{file->current, file->current});
        }
        this->names = kept;
        this->durableNames = kept;
    }

    /// Replaces the content by that of another disk, like a disk that is restored from a copy.
    void copyFrom(const SimulatedDisk &other)
    {
        this->names.clear();
        for (const auto &[name, file] : other.names) {
            this->names[name] = std::make_shared<File>(*file);
        }
        this->durableNames = this->names;
    }

    std::string &content(const std::string &name)
    {
        return this->names.at(name)->current;
    }

    boost::leaf::result<std::optional<std::string>> read(const std::string &name) override
    {
        return this->names.count(name) > 0 ? std::optional<std::string>(this->names.at(name)->current) : std::nullopt;
    }

    boost::leaf::result<void> write(const std::string &name, const std::string &bytes) override
    {
        if (this->full) {
            this->open(name).current = this->randomPartOf(bytes);
            return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, name});
        }
        if (this->capacity != unlimited) {
            this->open(name).current.clear();
        }
        if (bytes.size() > this->room()) {
            this->open(name).current = bytes.substr(0, this->room());
            return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, name});
        }
        return this->perform(name, [this, &name, &bytes] { this->open(name).current = bytes; });
    }

    boost::leaf::result<void> append(const std::string &name, const std::string &bytes) override
    {
        if (this->full) {
            this->open(name).current += this->randomPartOf(bytes);
            return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, name});
        }
        if (bytes.size() > this->room()) {
            this->open(name).current += bytes.substr(0, this->room());
            return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, name});
        }
        return this->perform(name, [this, &name, &bytes] { this->open(name).current += bytes; });
    }

    boost::leaf::result<void> truncate(const std::string &name, std::uint64_t size) override
    {
        return this->perform(name, [this, &name, size] { this->open(name).current.resize(size); });
    }

    boost::leaf::result<void> sync(const std::string &name) override
    {
        return this->perform(name, [this, &name] { this->open(name).synced = this->open(name).current; });
    }

    boost::leaf::result<void> rename(const std::string &from, const std::string &to) override
    {
        return this->perform(from, [this, &from, &to] {
            this->names[to] = this->names.at(from);
            this->names.erase(from);
        });
    }

    boost::leaf::result<void> remove(const std::string &name) override
    {
        return this->perform(name, [this, &name] { this->names.erase(name); });
    }

    boost::leaf::result<void> syncFolder() override
    {
        return this->perform("", [this] { this->durableNames = this->names; });
    }

private:
    static constexpr std::uint64_t neverFails = UINT64_MAX;
    static constexpr std::size_t unlimited = SIZE_MAX;

    struct File {
        std::string current;
        std::string synced;
    };

    File &open(const std::string &name)
    {
        std::shared_ptr<File> &file = this->names[name];
        if (!file) {
            file = std::make_shared<File>();
        }
        return *file;
    }

    std::size_t room() const
    {
        const std::size_t taken = this->used();
        return taken < this->capacity ? this->capacity - taken : 0;
    }

    std::string randomPartOf(const std::string &bytes)
    {
        return bytes.substr(0, this->random() % 2 == 0 ? 0 : this->random() % (bytes.size() + 1));
    }

    template<typename Operation>
    boost::leaf::result<void> perform(const std::string &name, Operation operation)
    {
        const bool failing = this->operationsLeft == 0 || (this->operationsLeft != neverFails && --this->operationsLeft == 0);
        // The first failing operation may or may not take effect.
        if (!failing || (!this->failed && this->random() % 2 == 0)) {
            operation();
        }
        this->failed = failing;
        if (failing) {
            return boost::leaf::new_error(StorageError{StorageError::Kind::Failed, name});
        }
        return {};
    }

    std::mt19937_64 random;
    std::map<std::string, std::shared_ptr<File>> names;
    std::map<std::string, std::shared_ptr<File>> durableNames;
    std::uint64_t operationsLeft = neverFails;
    bool failed = false;
    bool full = false;
    std::size_t capacity = unlimited;
};

} // namespace Hyssophall
