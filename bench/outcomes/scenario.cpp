#include "scenario.h"

#include <algorithm>
#include <random>

namespace HyssophallBench {

namespace {

constexpr double floodFactor = 6;
constexpr double warmUp = 4;

std::vector<TeamPlan> createTeams()
{
    std::vector<TeamPlan> teams;
    for (int index = 0; index < 8; ++index) {
        const bool large = index < 2;
        teams.push_back({"team-" + std::to_string(index), large ? 150.0 : 20.0, large ? 150.0 : 20.0, large ? 100.0 : 12.0});
    }
    return teams;
}

std::vector<FaultKind> kindsOf(bool quick)
{
    if (quick) {
        return {FaultKind::Error30, FaultKind::Slow, FaultKind::UnevenBalancer, FaultKind::VmKilled};
    }
    return {FaultKind::Error30,
        FaultKind::Error70,
        FaultKind::Error100,
        FaultKind::Slow,
        FaultKind::Truncate,
        FaultKind::Hang,
        FaultKind::Flap,
        FaultKind::Killed,
        FaultKind::ColdStart,
        FaultKind::ServiceSheds,
        FaultKind::TeamFlood,
        FaultKind::UnevenBalancer,
        FaultKind::VmKilled};
}

double lengthOf(FaultKind kind, bool quick)
{
    return (kind == FaultKind::VmKilled ? 8 : 6) - (quick ? 2 : 0);
}

} // namespace

const char *nameOf(FaultKind kind)
{
    switch (kind) {
    case FaultKind::None:
        return "none";
    case FaultKind::Error30:
        return "error 30 %";
    case FaultKind::Error70:
        return "error 70 %";
    case FaultKind::Error100:
        return "error 100 %";
    case FaultKind::Slow:
        return "slow 200 ms";
    case FaultKind::Truncate:
        return "truncates";
    case FaultKind::Hang:
        return "hangs";
    case FaultKind::Flap:
        return "flaps";
    case FaultKind::Killed:
        return "killed";
    case FaultKind::ColdStart:
        return "cold start";
    case FaultKind::ServiceSheds:
        return "service sheds";
    case FaultKind::TeamFlood:
        return "team floods";
    case FaultKind::UnevenBalancer:
        return "uneven balancer";
    case FaultKind::VmKilled:
        return "VM killed";
    }
    return "none";
}

bool FaultWindow::hitsInstance() const
{
    return this->kind >= FaultKind::Error30 && this->kind <= FaultKind::Killed;
}

double Scenario::duration() const
{
    return this->windows.back().end;
}

Scenario Scenario::create(std::uint64_t seed, bool quick)
{
    std::mt19937_64 generator(seed);
    const auto draw = [&generator] { return std::uniform_real_distribution<double>(0, 1)(generator); };
    Scenario scenario;
    scenario.services = {{"history", 6, true, 0.4}, {"credits", 8, false, 0.15}, {"reminders", 17, true, 0.45}};
    scenario.teams = createTeams();
    std::vector<FaultKind> kinds = kindsOf(quick);
    std::shuffle(kinds.begin(), kinds.end(), generator);
    scenario.windows.push_back({FaultKind::None, 0, warmUp, warmUp});
    for (const FaultKind kind : kinds) {
        FaultWindow window;
        window.kind = kind;
        window.begin = scenario.windows.back().end;
        window.clear = window.begin + lengthOf(kind, quick);
        window.end = window.clear + (quick ? 1 : 3);
        window.service = draw() < 0.4 ? 0 : 2;
        window.instance = static_cast<int>(draw() * scenario.services[window.service].instances);
        window.team = 2 + static_cast<std::size_t>(draw() * 6);
        window.vm = static_cast<std::size_t>(draw() * 1000);
        scenario.windows.push_back(window);
    }
    for (std::size_t index = 0; index < scenario.windows.size(); ++index) {
        const FaultWindow &window = scenario.windows[index];
        for (std::size_t team = 0; team < scenario.teams.size(); ++team) {
            const bool floods = window.kind == FaultKind::TeamFlood && window.team == team;
            const double rate = scenario.teams[team].sends * (floods ? floodFactor : 1);
            std::exponential_distribution<double> pause(rate);
            for (double at = window.begin + pause(generator); at < window.end; at += pause(generator)) {
                const double which = draw();
                const std::size_t service = which < 0.4 ? 0 : which < 0.55 ? 1 : 2;
                scenario.arrivals.push_back({at, team, service, draw(), index});
            }
        }
    }
    std::sort(scenario.arrivals.begin(), scenario.arrivals.end(), [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
    return scenario;
}

} // namespace HyssophallBench
