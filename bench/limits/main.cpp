// Prints the time of acquire() with tokens at hand, and the borrow calls a second for a given number of teams.

#include "process/limits/borrowingratelimiter.h"

#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace Hyssophall;

namespace {

using Clock = std::chrono::steady_clock;

/// Owners that lend all that is asked for, at once.
class GenerousTransport : public FleetTransport
{
public:
    void borrowTokens(const std::string &,
        const FleetMessages::BorrowTokensRequest &request,
        std::chrono::milliseconds,
        Completion<FleetMessages::BorrowTokensReply> done) override
    {
        FleetMessages::BorrowTokensReply reply;
        for (const FleetMessages::TokenDemand &demand : request.demands()) {
            FleetMessages::TokenLoan &loan = *reply.add_loans();
            loan.set_team(demand.team());
            loan.set_lent(demand.wanted());
            loan.set_owned(true);
        }
        done(reply);
    }
    void exchange(const std::string &, const FleetMessages::ExchangeMessage &, std::chrono::milliseconds, Completion<FleetMessages::ExchangeMessage>) override
    {
    }
    void fetchCatalogue(
        const std::string &, const FleetMessages::FetchCatalogueRequest &, std::chrono::milliseconds, Completion<FleetMessages::FetchCatalogueReply>) override
    {
    }
    void grantLeases(
        const std::string &, const FleetMessages::GrantLeasesRequest &, std::chrono::milliseconds, Completion<FleetMessages::GrantLeasesReply>) override
    {
    }
    void claim(const std::string &, const FleetMessages::ClaimRequest &, std::chrono::milliseconds, Completion<FleetMessages::ClaimReply>) override
    {
    }
    void finishClaim(
        const std::string &, const FleetMessages::FinishClaimRequest &, std::chrono::milliseconds, Completion<FleetMessages::FinishClaimReply>) override
    {
    }
    void recoverClaims(
        const std::string &, const FleetMessages::RecoverClaimsRequest &, std::chrono::milliseconds, Completion<FleetMessages::RecoverClaimsReply>) override
    {
    }
    void reportOutcomes(
        const std::string &, const FleetMessages::ReportOutcomesRequest &, std::chrono::milliseconds, Completion<FleetMessages::ReportOutcomesReply>) override
    {
    }
    void reportCrash(
        const std::string &, const FleetMessages::ReportCrashRequest &, std::chrono::milliseconds, Completion<FleetMessages::ReportCrashReply>) override
    {
    }
    void announce(const std::string &, const FleetMessages::AnnounceRequest &, std::chrono::milliseconds, Completion<FleetMessages::AnnounceReply>) override
    {
    }
};

struct Fixture {
    GenerousTransport transport;
    std::shared_ptr<const Roster> roster;
    std::shared_ptr<BorrowingRateLimiter> limiter;
    std::atomic<bool> ended = false;
    std::thread borrower;

    explicit Fixture(std::size_t owners)
    {
        std::vector<CatalogueMessages::Member> members(owners);
        for (std::size_t index = 0; index < owners; ++index) {
            members[index].set_id("vm-" + std::to_string(index));
        }
        this->roster = std::make_shared<const Roster>(1, std::move(members));
        FleetContext context;
        context.self = "entry";
        context.clock = [] { return Clock::now(); };
        context.roster = [this] { return this->roster; };
        context.transport = &this->transport;
        this->limiter = BorrowingRateLimiter::create(context, {}, [owners](std::uint32_t shard) { return "vm-" + std::to_string(shard % owners); }, {});
        this->borrower = std::thread([this] {
            while (!this->ended.load()) {
                this->limiter->waitUntil(this->limiter->step());
            }
        });
    }
    ~Fixture()
    {
        this->ended.store(true);
        this->limiter->wake();
        this->borrower.join();
    }
};

std::vector<std::string> teamNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back("team-" + std::to_string(index));
    }
    return names;
}

/// Nanoseconds of one acquire() with tokens at hand: they are put there before the clock starts.
double timeOfAcquire(std::size_t teamCount)
{
    Fixture fixture(44);
    const std::vector<std::string> teams = teamNames(teamCount);
    const std::size_t rounds = 400000 / teamCount;
    double total = 0;
    std::size_t calls = 0;
    for (int batch = 0; batch < 3; ++batch) {
        for (const std::string &team : teams) {
            for (std::size_t round = 0; round < rounds; ++round) {
                fixture.limiter->returnToken(team);
            }
        }
        const Clock::time_point start = Clock::now();
        for (std::size_t round = 0; round < rounds; ++round) {
            for (const std::string &team : teams) {
                fixture.limiter->acquire(team, start + std::chrono::seconds(10));
            }
        }
        total += std::chrono::duration<double, std::nano>(Clock::now() - start).count();
        calls += rounds * teamCount;
    }
    return total / static_cast<double>(calls);
}

/// Borrow calls a second at a steady load, spread evenly over the teams.
double callsPerSecond(std::size_t teamCount, double load, std::size_t &granted)
{
    Fixture fixture(44);
    const std::vector<std::string> teams = teamNames(teamCount);
    const Clock::time_point start = Clock::now();
    const std::chrono::seconds duration(3);
    std::size_t number = 0;
    for (Clock::time_point now = start; now < start + duration; now = Clock::now()) {
        const std::size_t due = static_cast<std::size_t>(std::chrono::duration<double>(now - start).count() * load);
        for (; number < due; ++number) {
            const RateDecision decision = fixture.limiter->acquire(teams[number % teamCount], now + std::chrono::seconds(1));
            granted += decision.kind == RateDecision::Kind::Granted ? 1 : 0;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return static_cast<double>(fixture.limiter->sentCalls()) / std::chrono::duration<double>(Clock::now() - start).count();
}

} // namespace

int main()
{
    for (const std::size_t teams : {std::size_t{8}, std::size_t{200}, std::size_t{5000}}) {
        const double nanoseconds = timeOfAcquire(teams);
        std::size_t granted = 0;
        const double calls = callsPerSecond(teams, 2000, granted);
        std::printf("teams %zu: %.0f ns per acquire with tokens at hand; %.0f borrow calls/s at 2000 requests/s to 44 owners (%zu granted)\n",
            teams,
            nanoseconds,
            calls,
            granted);
    }
    return 0;
}
