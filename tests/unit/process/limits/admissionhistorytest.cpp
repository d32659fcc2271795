#include "process/limits/admissionhistory.h"

#include <catch2/catch.hpp>

using namespace Hyssophall;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime start{std::chrono::hours(1)};
constexpr std::chrono::seconds window{5};
/// With the burst, 10 requests per second over a window.
constexpr TeamRate rate{8, 10};
constexpr double ownShare = 0.02;

AdmissionHistory::View viewAt(SteadyTime now, double visibleShare = 1)
{
    return {visibleShare, ownShare, now};
}

} // namespace

// Guards against admissions that never expire, or expire before the window has passed.
CATCH_TEST_CASE("Admissions are charged until the window has passed", "[fleet-limit]")
{
    AdmissionHistory history(window, start - 1min);
    history.recordVisibleShare(start - 1min, start + 10s, 1);
    history.add("red", 3, start);
    history.add("red", 4, start + 2s);
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 2s)) == Approx(7));
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 4900ms)) == Approx(7));
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 5200ms)) == Approx(4));
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 7200ms)) == Approx(0));
    CATCH_CHECK(history.timeUntilFreed(5, "red", rate, viewAt(start + 2s)) >= 4900ms);
}

// Guards against a VM that assumes that nothing was admitted during the time in which no other VM was visible to it.
CATCH_TEST_CASE("Time in which no other VM was visible counts as used", "[fleet-limit]")
{
    AdmissionHistory history(window, start - 1min);
    history.recordVisibleShare(start - 1min, start, 1);
    history.recordVisibleShare(start + 2s, start + 2s, 1);
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 2s)) == Approx(2 * 10 * (1 - ownShare)));
    // A VM that sees no other VM now may use its own share of the limit, and only its own admissions count against it.
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 2s, ownShare)) == Approx(0));
    CATCH_CHECK(history.coveredTime(start + 2s) == window);
}

// Guards against a VM that treats the time before its start as known.
CATCH_TEST_CASE("The time before a start is unknown until the record of another VM covers it", "[fleet-limit]")
{
    AdmissionHistory relay(window, start - 1min);
    relay.recordVisibleShare(start - 1min, start + 1s, 0.5);
    relay.add("red", 6, start - 2s);
    AdmissionHistory history(window, start);
    history.recordVisibleShare(start + 1s, start + 1s, 1);
    CATCH_CHECK(history.coveredTime(start + 1s) == 1s);
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 1s)) == Approx(4 * 10 + 10 * (1 - ownShare)));
    history.fillGaps(relay.record(start + 1s), start + 1s);
    CATCH_CHECK(history.coveredTime(start + 1s) == window);
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 1s)) == Approx(6 + 0.5 * 10 * 4 + (1 - 0.5) * 10));
    // Filling the gap a second time adds nothing.
    history.fillGaps(relay.record(start + 1s), start + 1s);
    CATCH_CHECK(history.admitted("red", start + 1s) == Approx(6));
}

// Guards against a relay that counts the same admissions several times: it saw no VM at first, and then each of its VMs sends a record of that time.
CATCH_TEST_CASE("Records of several VMs about the same time are counted once", "[fleet-limit]")
{
    AdmissionHistory sender(window, start - 1min);
    sender.recordVisibleShare(start - 1min, start + 1s, 1);
    sender.add("red", 6, start - 1s);
    sender.add("red", 2, start + 500ms);
    AdmissionHistory relay(window, start);
    relay.recordVisibleShare(start, start + 800ms, 0);
    for (int connection = 0; connection < 3; ++connection) {
        relay.fillGaps(sender.record(start + 1s), start + 1s);
        CATCH_CHECK(relay.admitted("red", start + 1s) == Approx(8));
    }
    CATCH_CHECK(relay.chargedAdmissions("red", rate, viewAt(start + 1s)) == Approx(8));
}

// Guards against assumed admissions of VMs that have reported what they admitted, and against reports that are counted twice when a VM connects twice.
CATCH_TEST_CASE("What VMs couldn't report replaces the assumption about them and is counted once", "[fleet-limit]")
{
    AdmissionHistory history(window, start - 1min);
    history.recordVisibleShare(start - 1min, start, 1);
    history.recordVisibleShare(start + 2s, start + 2s, 1);
    const auto report = [&history](const std::string &vm, SteadyTime now) {
        UnreportedAdmissions unreported;
        unreported.vm = vm;
        unreported.fromAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - start);
        unreported.admitted["red"] = {{unreported.fromAge - 1s, 1}};
        history.addUnreported(unreported, 0.25, now);
    };
    report("vm-1", start + 2s);
    report("vm-1", start + 2s + 50ms);
    CATCH_CHECK(history.admitted("red", start + 2s) == Approx(1));
    // The whole slots of the 2 s count as known, up to 100 ms at each end don't.
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 2s)) == Approx(1 + 2 * 10 * 0.75).margin(10 * 0.25 * 0.2));
    for (const char *vm : {"vm-2", "vm-3", "vm-4"}) {
        report(vm, start + 2s + 50ms);
    }
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 2100ms)) == Approx(4).margin(10 * 0.2));
    CATCH_CHECK(history.chargedAdmissions("red", rate, viewAt(start + 6200ms)) == Approx(0));
}
