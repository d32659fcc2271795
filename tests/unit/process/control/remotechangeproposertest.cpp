#include "process/control/remotechangeproposer.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <utility>

using namespace Hyssophall;

namespace {

using Result = boost::leaf::result<ControlMessages::ProposeReply>;
using Attempt = std::function<Result(const std::string &)>;

/// Runs a proposal against two replicas. The clock advances only by the pauses between attempts. Returns the outcome's version or the error's reason as text.
std::string proposeTo(const Attempt &attempt)
{
    SteadyTime now;
    RemoteChangeProposer proposer({[] {
                                       return std::vector<std::string>{"a", "b"};
                                   },
        [&attempt](const std::string &address, const ControlMessages::ProposeRequest &, std::chrono::milliseconds) { return attempt(address); },
        [](const std::string &, std::chrono::milliseconds) { return std::nullopt; },
        [&now] { return now; },
        [&now](std::chrono::milliseconds pause) { now += pause; }});
    return boost::leaf::try_handle_all(
        [&proposer]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(outcome, proposer.propose(ControlMessages::CatalogueChange(), SteadyTime(std::chrono::seconds(1))));
            return std::to_string(outcome.version());
        },
        [](const ControlUnavailable &unavailable) { return std::string(unavailable.reason == ControlUnavailable::Reason::Unknown ? "unknown" : "no quorum"); },
        [] { return std::string("untyped"); });
}

Result failing(ControlUnavailable::Reason reason)
{
    return boost::leaf::new_error(ControlUnavailable{reason});
}

ControlMessages::ProposeReply replyOf(ControlMessages::ProposeReply::Result result)
{
    ControlMessages::ProposeReply reply;
    reply.set_result(result);
    return reply;
}

} // namespace

CATCH_TEST_CASE("A change that may have reached the group is never reported as not accepted", "[control-log]")
{
    // Guards against an operator who is told that a change wasn't accepted and repeats it with another id although it was.
    CATCH_REQUIRE(proposeTo([](const std::string &) { return failing(ControlUnavailable::Reason::NoQuorum); }) == "no quorum");
    CATCH_REQUIRE(proposeTo([](const std::string &) { return replyOf(ControlMessages::ProposeReply::RESULT_NOT_LEADER); }) == "no quorum");
    bool first = true;
    CATCH_REQUIRE(proposeTo([&first](const std::string &) {
        return failing(std::exchange(first, false) ? ControlUnavailable::Reason::Unknown : ControlUnavailable::Reason::NoQuorum);
    }) == "unknown");
}

CATCH_TEST_CASE("A proposer follows the redirect to the leader, also to an address that isn't in its list", "[control-log]")
{
    // Guards against a proposal that fails because its configured replicas don't include the current leader.
    CATCH_REQUIRE(proposeTo([](const std::string &address) {
        ControlMessages::ProposeReply reply = replyOf(ControlMessages::ProposeReply::RESULT_NOT_LEADER);
        reply.set_leader_address("c");
        if (address == "c") {
            reply.set_result(ControlMessages::ProposeReply::RESULT_DECIDED);
            reply.mutable_outcome()->set_version(7);
        }
        return reply;
    }) == "7");
}

// Guards against operators who get no acknowledgement from any control VM because each of them waits for a leader that is frozen, though the others have
// elected another one.
CATCH_TEST_CASE("A proposer that gets no reply of the leader finds the next one before the operator gives up", "[control-log][large-fleet]")
{
    constexpr std::chrono::milliseconds operatorTimeout{900};
    SteadyTime now;
    std::string leader = "b";
    RemoteChangeProposer::Hooks hooks;
    hooks.addresses = [] { return std::vector<std::string>{"a", "b", "c"}; };
    hooks.propose = [&now, &leader](const std::string &address, const ControlMessages::ProposeRequest &, std::chrono::milliseconds timeout) -> Result {
        if (address == "b" && leader != "b") {
            now += timeout;
            return failing(ControlUnavailable::Reason::Unknown);
        }
        ControlMessages::ProposeReply reply
            = replyOf(address == leader ? ControlMessages::ProposeReply::RESULT_DECIDED : ControlMessages::ProposeReply::RESULT_NOT_LEADER);
        reply.set_leader_address(leader);
        return reply;
    };
    hooks.status = [](const std::string &, std::chrono::milliseconds) { return std::nullopt; };
    hooks.now = [&now] { return now; };
    hooks.sleep = [&now](std::chrono::milliseconds pause) { now += pause; };
    RemoteChangeProposer proposer(std::move(hooks));
    CATCH_REQUIRE(proposer.propose(ControlMessages::CatalogueChange(), now + operatorTimeout));
    leader = "c";
    CATCH_CHECK(proposer.propose(ControlMessages::CatalogueChange(), now + operatorTimeout));
}

// Guards against giving up a leader that is slow and known to lead: no other replica could decide.
CATCH_TEST_CASE("A proposer waits for a slow leader until its deadline", "[control-log][large-fleet]")
{
    SteadyTime now;
    RemoteChangeProposer::Hooks hooks;
    hooks.addresses = [] { return std::vector<std::string>{"a", "b"}; };
    hooks.propose = [&now](const std::string &address, const ControlMessages::ProposeRequest &, std::chrono::milliseconds timeout) -> Result {
        constexpr std::chrono::milliseconds decisionTime{700};
        now += address == "b" ? std::min(timeout, decisionTime) : std::chrono::milliseconds(0);
        if (address == "b" && timeout < decisionTime) {
            return failing(ControlUnavailable::Reason::Unknown);
        }
        ControlMessages::ProposeReply reply
            = replyOf(address == "b" ? ControlMessages::ProposeReply::RESULT_DECIDED : ControlMessages::ProposeReply::RESULT_NOT_LEADER);
        reply.set_leader_address("b");
        return reply;
    };
    hooks.status = [](const std::string &, std::chrono::milliseconds) { return std::nullopt; };
    hooks.now = [&now] { return now; };
    hooks.sleep = [&now](std::chrono::milliseconds pause) { now += pause; };
    hooks.isLeading = [](const std::string &address) { return address == "b"; };
    RemoteChangeProposer proposer(std::move(hooks));
    CATCH_CHECK(proposer.propose(ControlMessages::CatalogueChange(), now + std::chrono::milliseconds(900)));
}
