#include "process/fleet/cataloguefetcher.h"
#include "simulatedcatalogue.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using namespace std::chrono_literals;

// Guards against a fetcher that waits for one peer although others have the version: a peer may report a newer version and
// then not respond, or respond with an older catalogue.
CATCH_TEST_CASE("One fetch runs at a time, and another peer is asked after a failure", "[fleet][config-in-force]")
{
    SteadyTime now(1h);
    SimulatedCatalogue own;
    SimulatedCatalogue peer;
    for (int version = 0; version < 5; ++version) {
        own.append();
    }
    std::vector<std::string> asked;
    std::vector<CatalogueFetcher::ReplyHandler> replyHandlers;
    CatalogueFetcher fetcher(
        own.source(),
        [&now] { return now; },
        [&](const std::string &address,
            const FleetMessages::FetchCatalogueRequest &,
            std::chrono::milliseconds,
            const CatalogueFetcher::ReplyHandler &onReply) {
            asked.push_back(address);
            replyHandlers.push_back(onReply);
        });
    fetcher.addCandidate("behind", 5);
    CATCH_REQUIRE(asked.empty());
    fetcher.addCandidate("silent", 9);
    fetcher.addCandidate("older", 8);
    fetcher.addCandidate("good", 7);
    CATCH_REQUIRE(asked == std::vector<std::string>{"silent"});
    now += 2s;
    fetcher.tick();
    CATCH_REQUIRE(asked.back() == "older");
    FleetMessages::FetchCatalogueReply old;
    old.mutable_snapshot()->set_version(4);
    replyHandlers[1](old);
    CATCH_REQUIRE(own.state.version() == 5);
    CATCH_REQUIRE_FALSE(own.acceptedOlderVersion);
    CATCH_REQUIRE(asked.back() == "good");
    for (int version = 0; version < 7; ++version) {
        peer.append();
    }
    FleetMessages::FetchCatalogueRequest request;
    request.set_from_version(5);
    replyHandlers[2](peer.source().replyTo(request));
    CATCH_REQUIRE(own.state.version() == 7);
    replyHandlers[0](peer.source().replyTo(FleetMessages::FetchCatalogueRequest()));
    CATCH_REQUIRE(own.state.version() == 7);
    CATCH_REQUIRE(asked.size() == 3);
}
