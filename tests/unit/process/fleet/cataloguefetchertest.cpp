#include "process/fleet/cataloguefetcher.h"
#include "simulatedcatalogue.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using namespace std::chrono_literals;

// Guards against a peer that says it is ahead and doesn't answer or answers with older state, while others could.
CATCH_TEST_CASE("One fetch runs at a time, and another peer is asked after a failure", "[fleet][config-in-force]")
{
    SteadyTime now(1h);
    SimulatedCatalogue own;
    SimulatedCatalogue peer;
    for (int version = 0; version < 5; ++version) {
        own.append();
    }
    std::vector<std::string> asked;
    std::vector<CatalogueFetcher::Answer> answers;
    CatalogueFetcher fetcher(
        own.source(),
        [&now] { return now; },
        [&](const std::string &address, const FleetMessages::FetchCatalogueRequest &, std::chrono::milliseconds, const CatalogueFetcher::Answer &answer) {
            asked.push_back(address);
            answers.push_back(answer);
        });
    fetcher.notice("behind", 5);
    CATCH_REQUIRE(asked.empty());
    fetcher.notice("silent", 9);
    fetcher.notice("older", 8);
    fetcher.notice("good", 7);
    CATCH_REQUIRE(asked == std::vector<std::string>{"silent"});
    now += 2s;
    fetcher.tick();
    CATCH_REQUIRE(asked.back() == "older");
    FleetMessages::FetchCatalogueReply old;
    old.mutable_snapshot()->set_version(4);
    answers[1](old);
    CATCH_REQUIRE(own.state.version() == 5);
    CATCH_REQUIRE_FALSE(own.wentBack);
    CATCH_REQUIRE(asked.back() == "good");
    for (int version = 0; version < 7; ++version) {
        peer.append();
    }
    FleetMessages::FetchCatalogueRequest request;
    request.set_from_version(5);
    answers[2](peer.source().answer(request));
    CATCH_REQUIRE(own.state.version() == 7);
    answers[0](peer.source().answer(FleetMessages::FetchCatalogueRequest()));
    CATCH_REQUIRE(own.state.version() == 7);
    CATCH_REQUIRE(asked.size() == 3);
}
