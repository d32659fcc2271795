#include "fleetfixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace Hyssophall;
using namespace std::chrono_literals;
using Harness::HttpResponse;
using Tests::FleetFixture;

namespace {

/// One order that was sent under a fault, and what the caller was told.
struct SentOrder {
    std::string key;
    std::string body;
    HttpResponse answer;
};

/// Sends orders with and without idempotency key, each with a key and a body of its own, so that no one of them is taken for a poison request.
std::vector<SentOrder> sendOrders(FleetFixture &fixture, const std::string &name, int count)
{
    std::vector<SentOrder> orders;
    for (int index = 0; index < count; ++index) {
        const std::string unique = name + "-" + std::to_string(index);
        std::map<std::string, std::string> headers = {{"X-Request-Timeout-Ms", "800"}};
        if (index % 2 == 0) {
            headers["Idempotency-Key"] = unique;
        }
        SentOrder order{index % 2 == 0 ? unique : "POST /orders/" + unique, "body of " + unique, {}};
        order.answer = fixture.fleet.call(static_cast<std::size_t>(index) % 4, "POST", "/orders/" + unique, fixture.redKey, order.body, headers);
        orders.push_back(std::move(order));
    }
    return orders;
}

/// Compares what callers were told with the emulators' records.
void requireTrueOutcomes(FleetFixture &fixture, const std::vector<SentOrder> &orders)
{
    for (const SentOrder &order : orders) {
        const std::uint64_t runs = fixture.runsOf(order.key);
        const std::string outcome = order.answer.header("hyssophall-outcome");
        CATCH_INFO(order.key << ": " << order.answer.status << " " << order.answer.body << ", runs " << runs);
        CATCH_CHECK(runs <= 1);
        if (order.answer.status == 200) {
            const nlohmann::json body = nlohmann::json::parse(order.answer.body, nullptr, false);
            CATCH_CHECK(runs == 1);
            CATCH_CHECK((body.is_object() && body["body"] == order.body));
        } else if (outcome == "not-run") {
            CATCH_CHECK(runs == 0);
        } else {
            CATCH_CHECK(outcome == "unknown");
        }
    }
}

struct LinkFault {
    std::string name;
    nlohmann::json faults;
};

std::vector<LinkFault> linkFaults()
{
    std::vector<LinkFault> all = {
        {"reset-on-answer", {{"reset_on_answer", true}}},
        {"refuse-new", {{"refuse_new", true}}},
        {"cut-forward", {{"cut_forward", true}}},
        {"cut-backward", {{"cut_backward", true}}},
        {"delay", {{"delay_ms", 150}}},
        {"delay-past-the-deadline", {{"delay_ms", 900}}},
    };
    // Inside the status line, right after it, inside the headers, and inside the body.
    for (int position : {1, 5, 12, 16, 17, 30, 60, 110, 160, 200}) {
        all.push_back({"truncate-" + std::to_string(position), {{"truncate_backward_after", position}}});
    }
    return all;
}

} // namespace

// Guards against orders that run twice, or that callers are told haven't run though they have, when the connection to the upstream fails in any way.
CATCH_TEST_CASE("Orders over failing connections run at most once and callers are told the truth", "[integration][at-most-once][true-refusal][whole-answer]")
{
    FleetFixture fixture(1);
    fixture.startBehindProxies(1, 2);
    std::vector<SentOrder> all;
    for (const LinkFault &fault : linkFaults()) {
        CATCH_REQUIRE(fixture.setLinkFaults(fault.faults));
        std::vector<SentOrder> orders = sendOrders(fixture, fault.name, 6);
        CATCH_REQUIRE(fixture.setLinkFaults(nlohmann::json::object()));
        const bool isDelay = fault.name == "delay";
        for (SentOrder &order : orders) {
            CATCH_INFO(fault.name << ": " << order.answer.status << " " << order.answer.body);
            // Each fault but the short delay makes an answer impossible, and each caller is told so within the deadline.
            CATCH_CHECK(order.answer.status != 0);
            CATCH_CHECK((order.answer.status == 200) == isDelay);
            all.push_back(std::move(order));
        }
        // Ejection and lowered weights of one fault must not hide the next.
        CATCH_REQUIRE(Harness::waitUntil(20s, [&fixture] { return fixture.fleet.call(0, "POST", "/orders/between", fixture.redKey).status == 200; }));
    }
    // Bytes that a cut held back arrive after it heals; what was refused as not run must not run then.
    std::this_thread::sleep_for(2s);
    requireTrueOutcomes(fixture, all);
}

// Guards against partial answers to reads: libcurl reports success for an answer that ends inside its headers.
CATCH_TEST_CASE("Reads whose answers are cut off are answered whole or refused", "[integration][whole-answer]")
{
    FleetFixture fixture(1);
    fixture.startBehindProxies(2, 1);
    const Harness::TestFleet::Upstream &cutOff = *fixture.fleet.upstreams().front();
    int whole = 0;
    int total = 0;
    for (int position : {1, 9, 12, 17, 40, 90, 130, 180}) {
        CATCH_REQUIRE(fixture.fleet.setLinkFaults(cutOff, {{"truncate_backward_after", position}}));
        for (int index = 0; index < 12; ++index) {
            const std::string path = "/reads/" + std::to_string(position) + "-" + std::to_string(index);
            const HttpResponse answer = fixture.fleet.call(static_cast<std::size_t>(index) % 4, "GET", path, fixture.redKey);
            CATCH_INFO(path << ": " << answer.status << " " << answer.body);
            const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
            const bool isWhole = answer.status == 200 && body.is_object() && body.value("url", "") == path;
            CATCH_CHECK((isWhole || !answer.header("hyssophall-refusal").empty()));
            whole += isWhole ? 1 : 0;
            ++total;
        }
    }
    CATCH_INFO(whole << " of " << total);
    // The other instance is sound. Reads that the retry budget doesn't cover are refused, so not all are answered.
    CATCH_REQUIRE(whole >= total / 2);
}

// Guards against an instance that is ejected because its old connections died silently while new ones work.
CATCH_TEST_CASE("Connections that go silent cost no instance its place", "[integration][whole-answer][ejection]")
{
    FleetFixture fixture(1);
    fixture.startBehindProxies(2, 2);
    const auto callAll = [&fixture](const std::string &name, int &answered, int &total) {
        for (std::size_t vm = 0; vm < 4; ++vm) {
            std::vector<std::thread> callers;
            std::vector<HttpResponse> answers(8);
            for (std::size_t caller = 0; caller < answers.size(); ++caller) {
                callers.emplace_back([&, caller] {
                    const std::string path = "/reads/" + name + "-" + std::to_string(vm) + "-" + std::to_string(caller);
                    answers[caller] = fixture.fleet.call(vm, "GET", path, fixture.redKey, "", {{"X-Request-Timeout-Ms", "3000"}});
                });
            }
            for (std::thread &caller : callers) {
                caller.join();
            }
            for (const HttpResponse &answer : answers) {
                CATCH_CHECK(answer.status != 0);
                answered += answer.status == 200 ? 1 : 0;
                ++total;
            }
        }
    };
    int answered = 0;
    int total = 0;
    for (int round = 0; round < 5; ++round) {
        callAll("warm" + std::to_string(round), answered, total);
        CATCH_REQUIRE(fixture.setLinkFaults({{"freeze_open", true}}));
        CATCH_REQUIRE(fixture.setLinkFaults(nlohmann::json::object()));
        callAll("frozen" + std::to_string(round), answered, total);
        for (const Harness::TestFleet::Vm &vm : fixture.fleet.vms()) {
            for (const nlohmann::json &instance : fixture.fleet.instances(vm, "reads")) {
                CATCH_CHECK_FALSE(instance["ejected"].get<bool>());
            }
        }
    }
    CATCH_INFO(answered << " of " << total);
    CATCH_REQUIRE(answered == total);
}
