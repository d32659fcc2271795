#include "faultproxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace Hyssophall {

namespace {

// Short enough that a change of faults acts at once, long enough to cost little.
constexpr std::chrono::milliseconds pollInterval{10};
constexpr std::size_t chunkSize = 16384;

sockaddr_in addressOf(const std::string &host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

void setNoDelay(int socket)
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

// A socket that is closed with zero linger sends a reset in place of an orderly end.
void closeWithReset(int socket)
{
    const linger immediately{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    close(socket);
}

bool sendAll(int socket, const char *data, std::size_t size)
{
    while (size > 0) {
        const ssize_t sent = send(socket, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

} // namespace

boost::leaf::result<std::unique_ptr<FaultProxy>> FaultProxy::create(const Options &options)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const sockaddr_in address = addressOf(options.listenHost, options.listenPort);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(listener, SOMAXCONN) != 0) {
        close(listener);
        return boost::leaf::new_error(ProxyPortUnavailable{options.listenPort});
    }
    return std::unique_ptr<FaultProxy>(new FaultProxy(options, listener));
}

FaultProxy::FaultProxy(const Options &options, int listener)
    : options(options)
    , listener(listener)
    , acceptThread([this] { this->acceptUntilStopped(); })
{
}

FaultProxy::~FaultProxy()
{
    this->stopping = true;
    this->acceptThread.join();
    for (const std::unique_ptr<Link> &link : this->links) {
        link->thread.join();
    }
    close(this->listener);
}

void FaultProxy::setFaults(const LinkFaults &faults)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->inForce = faults;
    for (const std::unique_ptr<Link> &link : this->links) {
        link->frozen = link->frozen || faults.freezeOpen;
        link->reset = link->reset || faults.resetOpen;
    }
}

std::uint64_t FaultProxy::connectionCount() const
{
    return this->accepted;
}

LinkFaults FaultProxy::faults() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->inForce;
}

void FaultProxy::acceptUntilStopped()
{
    while (!this->stopping) {
        pollfd waiting{this->listener, POLLIN, 0};
        if (poll(&waiting, 1, static_cast<int>(pollInterval.count())) <= 0) {
            continue;
        }
        const int nearSocket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (nearSocket < 0) {
            continue;
        }
        ++this->accepted;
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->inForce.refuseNew) {
            closeWithReset(nearSocket);
            continue;
        }
        this->removeEndedLinks();
        this->links.push_back(std::make_unique<Link>());
        Link &link = *this->links.back();
        link.thread = std::thread([this, &link, nearSocket] { this->forward(link, nearSocket); });
    }
}

void FaultProxy::removeEndedLinks()
{
    const auto firstEnded = std::stable_partition(this->links.begin(), this->links.end(), [](const std::unique_ptr<Link> &link) { return !link->ended; });
    for (auto link = firstEnded; link != this->links.end(); ++link) {
        (*link)->thread.join();
    }
    this->links.erase(firstEnded, this->links.end());
}

void FaultProxy::forward(Link &link, int nearSocket)
{
    const int farSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = addressOf(this->options.targetHost, this->options.targetPort);
    bool open = connect(farSocket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0;
    setNoDelay(nearSocket);
    setNoDelay(farSocket);
    std::uint64_t movedForward = 0;
    std::uint64_t movedBackward = 0;
    while (open && !this->stopping && !link.reset) {
        const LinkFaults current = this->faults();
        // A socket whose direction is held back isn't polled, so its bytes stay in the kernel as on a cut network.
        pollfd sockets[2] = {
            {nearSocket, static_cast<short>(current.cutForward || link.frozen ? 0 : POLLIN), 0},
            {farSocket, static_cast<short>(current.cutBackward || link.frozen ? 0 : POLLIN), 0},
        };
        if (link.frozen) {
            std::this_thread::sleep_for(pollInterval);
            continue;
        }
        poll(sockets, 2, static_cast<int>(pollInterval.count()));
        if (sockets[0].events != 0 && sockets[0].revents != 0) {
            open = this->moveBytes(nearSocket, farSocket, 0, movedForward, current);
        }
        if (open && sockets[1].events != 0 && sockets[1].revents != 0) {
            link.reset = link.reset || current.resetOnAnswer;
            open = !link.reset && this->moveBytes(farSocket, nearSocket, current.truncateBackwardAfter, movedBackward, current);
        }
        if (sockets[0].revents == 0 && sockets[1].revents == 0) {
            continue;
        }
        // An end that was signalled on a direction that is held back would otherwise make this loop spin.
        if ((current.cutForward && sockets[0].revents != 0) || (current.cutBackward && sockets[1].revents != 0)) {
            std::this_thread::sleep_for(pollInterval);
        }
    }
    if (link.reset) {
        closeWithReset(nearSocket);
        closeWithReset(farSocket);
    } else {
        close(nearSocket);
        close(farSocket);
    }
    link.ended = true;
}

bool FaultProxy::moveBytes(int from, int to, std::uint64_t limit, std::uint64_t &moved, const LinkFaults &current)
{
    std::array<char, chunkSize> buffer{};
    const ssize_t received = recv(from, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
        return false;
    }
    std::size_t size = static_cast<std::size_t>(received);
    bool goesOn = true;
    if (limit > 0 && moved + size >= limit) {
        // A limit that is set on a connection in use may lie below what has passed already.
        size = static_cast<std::size_t>(limit > moved ? limit - moved : 0);
        goesOn = false;
    }
    std::this_thread::sleep_for(current.delay);
    moved += size;
    return sendAll(to, buffer.data(), size) && goesOn;
}

} // namespace Hyssophall
