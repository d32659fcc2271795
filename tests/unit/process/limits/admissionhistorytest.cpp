#include "process/limits/admissionhistory.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime start{std::chrono::hours(1)};
constexpr std::chrono::seconds window{5};
/// 10 a second over a window.
constexpr TeamRate rate{8, 10};
constexpr double ownShare = 0.02;

AdmissionHistory::View viewAt(SteadyTime now, double visibleShare = 1)
{
    return {visibleShare, ownShare, now};
}

} // namespace

// Guards against counts that stay in a window for ever, or leave it too soon.
CATCH_TEST_CASE("Admissions are charged until the window has passed", "[fleet-limit]")
{
    AdmissionHistory history(window, start - 1min);
    history.noteHeard(start - 1min, start + 10s, 1);
    history.add("red", 3, start);
    history.add("red", 4, start + 2s);
    CATCH_CHECK(history.charged("red", rate, viewAt(start + 2s)) == Approx(7));
    CATCH_CHECK(history.charged("red", rate, viewAt(start + 4900ms)) == Approx(7));
    CATCH_CHECK(history.charged("red", rate, viewAt(start + 5200ms)) == Approx(4));
    CATCH_CHECK(history.charged("red", rate, viewAt(start + 7200ms)) == Approx(0));
    CATCH_CHECK(history.timeUntilFreed(5, "red", rate, viewAt(start + 2s)) >= 4900ms);
}

// Guards against a VM that takes a time in which it heard nobody for one in which nobody was admitted.
CATCH_TEST_CASE("Time in which nobody was heard counts as used", "[fleet-limit]")
{
    AdmissionHistory history(window, start - 1min);
    history.noteHeard(start - 1min, start, 1);
    history.noteHeard(start + 2s, start + 2s, 1);
    CATCH_CHECK(history.charged("red", rate, viewAt(start + 2s)) == Approx(2 * 10 * (1 - ownShare)));
    // One that hears nobody now is owed its own part and answers for that alone.
    CATCH_CHECK(history.charged("red", rate, viewAt(start + 2s, ownShare)) == Approx(0));
    CATCH_CHECK(history.knownTime(start + 2s) == window);
}

// Guards against a VM that starts and takes the time before it for known.
CATCH_TEST_CASE("The time before a start is unknown until somebody tells it", "[fleet-limit]")
{
    AdmissionHistory relay(window, start - 1min);
    relay.noteHeard(start - 1min, start + 1s, 0.5);
    relay.add("red", 6, start - 2s);
    AdmissionHistory history(window, start);
    history.noteHeard(start + 1s, start + 1s, 1);
    CATCH_CHECK(history.knownTime(start + 1s) == 1s);
    CATCH_CHECK(history.charged("red", rate, viewAt(start + 1s)) == Approx(4 * 10 + 10 * (1 - ownShare)));
    history.fillGaps(relay.record(start + 1s), start + 1s);
    CATCH_CHECK(history.knownTime(start + 1s) == window);
    CATCH_CHECK(history.charged("red", rate, viewAt(start + 1s)) == Approx(6 + 0.5 * 10 * 4 + (1 - 0.5) * 10));
    // What is known stays as it is, whoever tells something else.
    history.fillGaps(relay.record(start + 1s), start + 1s);
    CATCH_CHECK(history.admitted("red", start + 1s) == Approx(6));
}

// Guards against a relay that heard nobody at first and counts what each of its VMs tells of that time.
CATCH_TEST_CASE("What several tell of the same time is counted once", "[fleet-limit]")
{
    AdmissionHistory teller(window, start - 1min);
    teller.noteHeard(start - 1min, start + 1s, 1);
    teller.add("red", 6, start - 1s);
    teller.add("red", 2, start + 500ms);
    AdmissionHistory relay(window, start);
    relay.noteHeard(start, start + 800ms, 0);
    for (int greeting = 0; greeting < 3; ++greeting) {
        relay.fillGaps(teller.record(start + 1s), start + 1s);
        CATCH_CHECK(relay.admitted("red", start + 1s) == Approx(8));
    }
    CATCH_CHECK(relay.charged("red", rate, viewAt(start + 1s)) == Approx(8));
}
