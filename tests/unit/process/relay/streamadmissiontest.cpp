#include "process/relay/streamadmission.h"
#include "process/relay/silencemonitor.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

using namespace Hyssophall;
using namespace std::chrono_literals;

// Guards against a relay that has no processor time left for the control group because all VMs of a fleet connect at once, time out and come back.
CATCH_TEST_CASE("When a whole fleet connects at once, the VMs are admitted one after the other", "[relay][large-fleet]")
{
    SteadyTime now = std::chrono::steady_clock::now();
    constexpr std::chrono::milliseconds step{10};
    StreamAdmission::Options options;
    StreamAdmission admission(options, [&now] { return now; });
    std::vector<SteadyTime> waiting(400, now);
    std::size_t rounds = 0;
    std::size_t largestGroup = 0;
    const SteadyTime began = now;
    while (!waiting.empty() && rounds < 100000) {
        std::size_t admitted = 0;
        std::vector<SteadyTime> left;
        for (const SteadyTime due : waiting) {
            const std::optional<std::chrono::milliseconds> retryAfter
                = due <= now ? admission.tryStart() : std::optional<std::chrono::milliseconds>(std::chrono::ceil<std::chrono::milliseconds>(due - now));
            admitted += retryAfter ? 0 : 1;
            if (retryAfter) {
                CATCH_CHECK(*retryAfter <= options.maximumDelay);
                left.push_back(now + *retryAfter);
            }
        }
        waiting = std::move(left);
        largestGroup = std::max(largestGroup, admitted);
        now += step;
        ++rounds;
    }
    CATCH_CHECK(waiting.empty());
    const std::chrono::duration<double> atOnce = options.burst + step;
    CATCH_CHECK(static_cast<double>(largestGroup) <= options.startsPerSecond * atOnce.count() + 1);
    // 400 at 150 a second, and the longest time that one was told to stay away.
    CATCH_CHECK(now - began < 5s);
}

CATCH_TEST_CASE("A single VM is admitted at once", "[relay][large-fleet]")
{
    SteadyTime now = std::chrono::steady_clock::now();
    StreamAdmission admission(StreamAdmission::Options(), [&now] { return now; });
    for (int arrival = 0; arrival < 100; ++arrival) {
        CATCH_CHECK_FALSE(admission.tryStart());
        now += 50ms;
    }
}

// Guards against a relay whose time goes into starting streams, so that those that it has time out and come back.
CATCH_TEST_CASE("A relay that is short of processor time starts fewer streams", "[relay][large-fleet]")
{
    SteadyTime now = std::chrono::steady_clock::now();
    StreamAdmission::Options options;
    StreamAdmission admission(options, [&now] { return now; });
    const auto startsIn = [&](std::chrono::milliseconds duration, std::chrono::milliseconds startDuration) {
        int started = 0;
        for (const SteadyTime end = now + duration; now < end; now += 1ms) {
            if (!admission.tryStart()) {
                ++started;
                admission.recordStart(startDuration);
            }
        }
        return started;
    };
    CATCH_CHECK(startsIn(10s, 1ms) >= 0.95 * options.startsPerSecond * 10);
    startsIn(5s, 30ms);
    const int started = startsIn(10s, 30ms);
    CATCH_CHECK(started * 30ms <= 10s * options.startingShare * 1.1);
    CATCH_CHECK(started > 0);
    startsIn(5s, 1ms);
    CATCH_CHECK(startsIn(10s, 1ms) >= 0.95 * options.startsPerSecond * 10);
}

// Guards against a silent stream that isn't ended because another one isn't silent, and against a callback that runs after its stream has ended.
CATCH_TEST_CASE("Each of several streams is ended after its own silence", "[relay]")
{
    SilenceMonitor monitor;
    std::atomic<SteadyTime::rep> silent{std::chrono::steady_clock::now().time_since_epoch().count()};
    std::atomic<SteadyTime::rep> active{(std::chrono::steady_clock::now() + 1h).time_since_epoch().count()};
    std::atomic<int> silentEnds{0};
    std::atomic<int> activeEnds{0};
    const std::unique_ptr<SilenceMonitor::Watch> activeWatch = monitor.watch(active, 50ms, [&activeEnds] { ++activeEnds; });
    std::unique_ptr<SilenceMonitor::Watch> silentWatch = monitor.watch(silent, 50ms, [&silentEnds] { ++silentEnds; });
    const SteadyTime began = std::chrono::steady_clock::now();
    while (silentEnds == 0 && std::chrono::steady_clock::now() - began < 10s) {
        std::this_thread::sleep_for(5ms);
    }
    silentWatch.reset();
    const int ends = silentEnds;
    CATCH_CHECK(ends > 0);
    std::this_thread::sleep_for(100ms);
    CATCH_CHECK(silentEnds == ends);
    CATCH_CHECK(activeEnds == 0);
}
