#include "process/relay/relaylink.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <future>
#include <string>
#include <thread>

using namespace Hyssophall;

namespace {

/// An HTTP/2 server that completes the handshake of its first connection, closes it, and never responds on later ones, as after a partition.
class VanishingServer
{
public:
    VanishingServer()
        : listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        CATCH_REQUIRE(bind(this->listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        CATCH_REQUIRE(listen(this->listener, 8) == 0);
        CATCH_REQUIRE(getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] {
            const int connection = accept(this->listener, nullptr, nullptr);
            // An empty SETTINGS frame, which makes the connection ready.
            constexpr std::array<char, 9> settings{0, 0, 0, 4, 0, 0, 0, 0, 0};
            static_cast<void>(write(connection, settings.data(), settings.size()));
            close(connection);
        });
    }

    ~VanishingServer()
    {
        this->thread.join();
        close(this->listener);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

private:
    int listener;
    unsigned short port = 0;
    std::thread thread;
};

} // namespace

// Guards against a VM that keeps an old configuration for many seconds, because its relay vanishes right after it has accepted the connection and
// gRPC tries to reconnect to it.
CATCH_TEST_CASE("A link to a relay that vanishes as the link connects ends within 2 s", "[relay]")
{
    for (int round = 0; round < 10; ++round) {
        VanishingServer server;
        RelayLink::Options options;
        options.address = server.address();
        options.fleetSecret = "a secret of the tests";
        RelayExchange::Hooks hooks;
        hooks.receive = [](const RelayMessages::Update &) {};
        hooks.beforeSend = [](RelayMessages::Update &) {};
        RelayLink link(options, hooks);
        UpdateBuffer outgoing;
        const SteadyTime began = std::chrono::steady_clock::now();
        CATCH_CHECK_FALSE(link.run(RelayMessages::Update(), outgoing));
        // More than the silence timeout of the stream and the timeouts for its start together.
        CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(2));
    }
}

// Guards against a VM that waits for the kernel's connection retries, which are seconds apart, when a relay that has just started drops connections
// that don't fit into its accept queue.
CATCH_TEST_CASE("A link to a relay whose accept queue is full ends at its connect timeout", "[relay]")
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    CATCH_REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
    CATCH_REQUIRE(listen(listener, 0) == 0);
    CATCH_REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
    // The listener never accepts, so these connections stay in its queue.
    std::array<int, 2> waiting{};
    for (int &connection : waiting) {
        connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        static_cast<void>(connect(connection, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
    }
    RelayLink::Options options;
    options.address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    options.fleetSecret = "a secret of the tests";
    RelayExchange::Hooks hooks;
    hooks.receive = [](const RelayMessages::Update &) {};
    hooks.beforeSend = [](RelayMessages::Update &) {};
    UpdateBuffer outgoing;
    const SteadyTime began = std::chrono::steady_clock::now();
    CATCH_CHECK_FALSE(RelayLink(options, hooks).run(RelayMessages::Update(), outgoing));
    CATCH_CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(2));
    for (const int connection : waiting) {
        close(connection);
    }
    close(listener);
}

// Guards against a process that can't end for the rest of the connect timeout, which doubles up to 2 s, because its relay accepts connections and stays silent.
CATCH_TEST_CASE("A cancelled link ends soon while its relay doesn't respond", "[relay][graceful-shutdown]")
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    CATCH_REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
    CATCH_REQUIRE(listen(listener, 8) == 0);
    CATCH_REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
    RelayLink::Options options;
    options.address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    options.fleetSecret = "a secret of the tests";
    options.connectTimeout = std::chrono::milliseconds(2000);
    RelayExchange::Hooks hooks;
    hooks.receive = [](const RelayMessages::Update &) {};
    hooks.beforeSend = [](RelayMessages::Update &) {};
    for (const std::chrono::milliseconds beforeCancel : {std::chrono::milliseconds(0), std::chrono::milliseconds(100)}) {
        CATCH_CAPTURE(beforeCancel.count());
        RelayLink link(options, hooks);
        UpdateBuffer outgoing;
        std::future<bool> result = std::async(std::launch::async, [&link, &outgoing] { return link.run(RelayMessages::Update(), outgoing); });
        std::this_thread::sleep_for(beforeCancel);
        const SteadyTime cancelledAt = std::chrono::steady_clock::now();
        link.cancel();
        CATCH_CHECK_FALSE(result.get());
        // A stopping process has 300 ms for its last steps.
        CATCH_CHECK(std::chrono::steady_clock::now() - cancelledAt < std::chrono::milliseconds(300));
    }
    close(listener);
}
