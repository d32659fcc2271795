#include "process/forwarding/forwardingclient.h"

#include "process/forwarding/forwardingservice.h"
#include "process/proxy/callerendpoint.h"
#include "support/rawupstream.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>

using namespace Hyssophall;
using namespace std::chrono_literals;
using HyssophallTest::RawConnection;
using HyssophallTest::RawUpstream;

namespace {

constexpr const char *secret = "a secret of the tests";

UpstreamCall orderWithin(std::chrono::milliseconds limit)
{
    UpstreamCall call;
    call.instance = "i-1";
    call.host = "127.0.0.1";
    call.port = 1;
    call.request = {"POST", "/order", {{"X-Text", "caf\xe9"}}, std::string("order\0with a zero", 17)};
    call.requestId = "request-1";
    call.deadline = std::chrono::steady_clock::now() + limit;
    call.mayRetry = false;
    return call;
}

ForwardingClient::Result sendTo(std::uint16_t port, const UpstreamCall &call, const std::string &withSecret = secret)
{
    ForwardingClient client({.vm = "vm-1", .fleetSecret = withSecret});
    return client.send("127.0.0.1", port, call);
}

/// Sends an order to a VM that behaves like this and requires that it was sent once and may have run.
void requireMayHaveRun(const RawUpstream::Behaviour &behaviour, std::chrono::milliseconds limit = 2s)
{
    RawUpstream vm(behaviour);
    const ForwardingClient::Result result = sendTo(vm.port(), orderWithin(limit));
    CATCH_REQUIRE(result.acceptance == ForwardingClient::Acceptance::Accepted);
    CATCH_REQUIRE(result.upstream.failure);
    CATCH_CHECK(result.upstream.failure->mayHaveSent);
    // It isn't the instance's failure.
    CATCH_CHECK(result.upstream.failure->isPathFailure);
    CATCH_CHECK(vm.requests().size() == 1);
}

/// A VM that answers every forwarded request with this result.
RawUpstream::Behaviour resultBehaviour(const ForwardingMessages::ForwardedResult &result)
{
    return [body = result.SerializeAsString()](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer(body)); };
}

/// Instances behind the forwarding service, which wait for their caller to leave if they are told to.
class SimulatedInstance : public UpstreamSender
{
public:
    UpstreamResult send(const UpstreamCall &call) override
    {
        this->last = call;
        ++this->sent;
        while (this->isHanging && !call.isCallerDisconnected()) {
            std::this_thread::sleep_for(5ms);
        }
        UpstreamResult result;
        result.response = HttpResponse{200, {{"X-Text", "caf\xe9"}}, std::string("done\0with a zero", 16)};
        return result;
    }

    UpstreamCall last;
    std::atomic<int> sent{0};
    std::atomic<bool> isHanging{false};
};

/// The forwarding service of a VM on a port of its own.
struct ServingVm {
    ServingVm()
    {
        CallerEndpoint::Options options;
        options.endpoint = {"127.0.0.1", 0};
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_ASSIGN(
                    this->endpoint, CallerEndpoint::create(options, [this](const CallerRequest &request) { return this->service.handle(request); }));
                return {};
            },
            [] { CATCH_FAIL("The port can't be opened"); });
    }

    SimulatedInstance instance;
    ForwardingService service{secret,
        this->instance,
        {[](const std::string &) { return true; },
            [](const std::string &, SteadyTime) {},
            [](const std::string &, const HttpResponse &) {},
            [](const std::string &, std::chrono::microseconds) {}}};
    std::unique_ptr<CallerEndpoint> endpoint;
};

} // namespace

// Guards against an order that is refused as not run, or sent through a third VM, after the second one got it.
CATCH_TEST_CASE("A forwarded order whose connection breaks once the other VM has it may have run", "[forwarding][at-most-once][true-refusal]")
{
    CATCH_SECTION("the other VM closes without a result")
    {
        requireMayHaveRun([](RawConnection &, const std::string &) { throw RawUpstream::Close(); });
    }
    CATCH_SECTION("the connection is reset")
    {
        requireMayHaveRun([](RawConnection &connection, const std::string &) { connection.reset(); });
    }
    CATCH_SECTION("the other VM never responds")
    {
        requireMayHaveRun([](RawConnection &, const std::string &) {}, 300ms);
    }
    CATCH_SECTION("the result is cut off")
    {
        requireMayHaveRun([](RawConnection &connection, const std::string &) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
            throw RawUpstream::Close();
        });
    }
    CATCH_SECTION("the result can't be read")
    {
        requireMayHaveRun([](RawConnection &connection, const std::string &) { connection.write(RawUpstream::answer("\x07\x07\x07")); });
    }
    CATCH_SECTION("the other VM fails")
    {
        requireMayHaveRun([](RawConnection &connection, const std::string &) { connection.write("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"); });
    }
    CATCH_SECTION("the instance's connection broke")
    {
        ForwardingMessages::ForwardedResult lost;
        lost.set_failure(ForwardingMessages::FAILURE_KIND_CONNECTION_LOST);
        lost.set_may_have_sent(true);
        RawUpstream vm(resultBehaviour(lost));
        const ForwardingClient::Result result = sendTo(vm.port(), orderWithin(2s));
        CATCH_REQUIRE(result.upstream.failure);
        CATCH_CHECK(result.upstream.failure->mayHaveSent);
        CATCH_CHECK(!result.upstream.failure->isPathFailure);
    }
}

// Guards against requests that are lost although another VM could still serve them, because the first one asked didn't get or accept them.
CATCH_TEST_CASE("A forwarded order that the other VM didn't get or accept wasn't sent", "[forwarding][at-most-once]")
{
    CATCH_SECTION("nobody listens")
    {
        std::uint16_t port = 0;
        {
            RawUpstream vm([](RawConnection &, const std::string &) {});
            port = vm.port();
        }
        CATCH_CHECK(sendTo(port, orderWithin(2s)).acceptance == ForwardingClient::Acceptance::NotAccepted);
    }
    CATCH_SECTION("the other VM doesn't accept it")
    {
        ForwardingMessages::ForwardedResult refused;
        refused.set_failure(ForwardingMessages::FAILURE_KIND_NOT_ACCEPTED);
        RawUpstream vm(resultBehaviour(refused));
        CATCH_CHECK(sendTo(vm.port(), orderWithin(2s)).acceptance == ForwardingClient::Acceptance::NotAccepted);
    }
    CATCH_SECTION("the other VM couldn't connect to the instance")
    {
        ForwardingMessages::ForwardedResult unreachable;
        unreachable.set_failure(ForwardingMessages::FAILURE_KIND_CONNECT_FAILED);
        RawUpstream vm(resultBehaviour(unreachable));
        const ForwardingClient::Result result = sendTo(vm.port(), orderWithin(2s));
        CATCH_REQUIRE(result.upstream.failure);
        CATCH_CHECK(!result.upstream.failure->mayHaveSent);
        // The other VM reports it.
        CATCH_CHECK(result.upstream.failure->isPathFailure);
    }
    CATCH_SECTION("the key was withdrawn while the connection was established")
    {
        RawUpstream vm([](RawConnection &, const std::string &) {});
        UpstreamCall call = orderWithin(2s);
        call.mayBeSent = [] { return false; };
        const ForwardingClient::Result result = sendTo(vm.port(), call);
        CATCH_REQUIRE(result.upstream.failure);
        CATCH_CHECK(result.upstream.failure->kind == UpstreamFailureKind::RejectedBeforeSend);
        CATCH_CHECK(vm.requests().empty());
    }
}

// Guards against requests that enter the fleet through the forwarding service without the fleet's secret, and so without any limit or key.
CATCH_TEST_CASE("The forwarding service sends nothing for a caller without the fleet's secret", "[forwarding][key-isolation]")
{
    ServingVm vm;
    CATCH_CHECK(sendTo(vm.endpoint->port(), orderWithin(2s), "another secret of the tests").acceptance == ForwardingClient::Acceptance::NotAccepted);
    CATCH_CHECK(vm.instance.sent == 0);
    CATCH_CHECK(sendTo(vm.endpoint->port(), orderWithin(2s)).acceptance == ForwardingClient::Acceptance::Accepted);
    CATCH_CHECK(vm.instance.sent == 1);
}

// Guards against requests and responses that change on their way through another VM, and against instances that get more time than is left.
CATCH_TEST_CASE("A forwarded request and its response arrive unchanged", "[forwarding][whole-answer]")
{
    ServingVm vm;
    const UpstreamCall call = orderWithin(2s);
    const ForwardingClient::Result result = sendTo(vm.endpoint->port(), call);
    CATCH_REQUIRE(result.upstream.response);
    CATCH_CHECK(result.upstream.response->body == std::string("done\0with a zero", 16));
    CATCH_CHECK(*findHeader(result.upstream.response->headers, "X-Text") == "caf\xe9");
    CATCH_CHECK(vm.instance.last.request.body == call.request.body);
    CATCH_CHECK(vm.instance.last.request.target == "/order");
    CATCH_CHECK(*findHeader(vm.instance.last.request.headers, "X-Text") == "caf\xe9");
    CATCH_CHECK(vm.instance.last.requestId == "request-1");
    CATCH_CHECK(!vm.instance.last.idempotent);
    CATCH_CHECK(vm.instance.last.deadline <= call.deadline + 50ms);
}

// Guards against an instance that goes on working for a caller that has left, because the request went through another VM.
CATCH_TEST_CASE("A forwarded request is cancelled at the other VM when its caller disconnects", "[forwarding][load-shedding]")
{
    ServingVm vm;
    vm.instance.isHanging = true;
    UpstreamCall call = orderWithin(5s);
    call.idempotent = true;
    call.isCallerDisconnected = [&vm] { return vm.instance.sent > 0; };
    const SteadyTime start = std::chrono::steady_clock::now();
    const ForwardingClient::Result result = sendTo(vm.endpoint->port(), call);
    CATCH_REQUIRE(result.upstream.failure);
    CATCH_CHECK(result.upstream.failure->kind == UpstreamFailureKind::CallerDisconnected);
    CATCH_CHECK(vm.service.waitUntilIdle(500ms));
    CATCH_CHECK(std::chrono::steady_clock::now() - start < 500ms);
}

// Guards against a shutdown that interrupts requests of other VMs.
CATCH_TEST_CASE("A VM that shuts down finishes the forwarded requests that it has and accepts no others", "[forwarding][drain]")
{
    ServingVm vm;
    vm.instance.isHanging = true;
    std::atomic<bool> isServed{false};
    std::thread caller([&] { isServed = sendTo(vm.endpoint->port(), orderWithin(5s)).upstream.response.has_value(); });
    while (vm.instance.sent == 0) {
        std::this_thread::sleep_for(1ms);
    }
    vm.service.stopAccepting();
    CATCH_CHECK(!vm.service.waitUntilIdle(50ms));
    CATCH_CHECK(sendTo(vm.endpoint->port(), orderWithin(2s)).acceptance == ForwardingClient::Acceptance::NotAccepted);
    vm.instance.isHanging = false;
    CATCH_CHECK(vm.service.waitUntilIdle(1s));
    caller.join();
    CATCH_CHECK(isServed);
}
