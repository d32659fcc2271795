#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace Hyssophall {

/// While this VM is partitioned from all instances, tries to connect to one of them now and then, so that the end of the partition is noticed.
class InstancePathProbe
{
public:
    struct Address {
        std::string host;
        std::uint16_t port = 0;
    };

    struct Hooks {
        std::function<bool()> isPartitioned;
        /// A registered instance, chosen at random; nothing if there is none.
        std::function<std::optional<Address>()> chooseInstance;
        /// Whether a connection can be established.
        std::function<bool(const Address &)> canConnect;
        /// Called with the host when a connection was established.
        std::function<void(const std::string &host)> connected;
    };

    explicit InstancePathProbe(Hooks hooks);
    ~InstancePathProbe();
    InstancePathProbe(const InstancePathProbe &) = delete;
    InstancePathProbe &operator=(const InstancePathProbe &) = delete;

    /// Call when the VM has become partitioned.
    void wake();

private:
    void run();

    const Hooks hooks;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool wakeRequested = false;
    std::thread thread;
};

} // namespace Hyssophall
