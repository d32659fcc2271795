#include "ports.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>

namespace Hyssophall::Harness {

namespace {

constexpr unsigned int firstPort = 10000;
constexpr unsigned int portCount = 20000;

bool isFree(unsigned int port)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(probe);
    return bound;
}

} // namespace

std::uint16_t findFreePort()
{
    static std::mutex mutex;
    // Processes that run side by side begin at different places.
    static unsigned int next = static_cast<unsigned int>(getpid()) * 211U;
    std::lock_guard<std::mutex> lock(mutex);
    unsigned int port = 0;
    do {
        port = firstPort + next++ % portCount;
    } while (!isFree(port));
    return static_cast<std::uint16_t>(port);
}

} // namespace Hyssophall::Harness
