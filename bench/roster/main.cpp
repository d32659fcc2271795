// Prints what following a change of the roster costs a VM: committees of claims and candidates of shards.

#include "process/fleet/claimgroups.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

using namespace Hyssophall;

namespace {

constexpr std::size_t failureDomains = 14;

Roster createRoster(std::size_t count)
{
    std::vector<CatalogueMessages::Member> members(count);
    for (std::size_t index = 0; index < count; ++index) {
        members[index].set_id("vm-" + std::to_string(10000 + index));
        members[index].set_failure_domain("domain-" + std::to_string(index % failureDomains));
    }
    return Roster(1, std::move(members));
}

double millisecondsOf(const std::function<void()> &work)
{
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
}

void run(std::size_t count)
{
    const Roster roster = createRoster(count);
    std::size_t members = 0;
    const double committees = millisecondsOf([&] {
        for (std::uint32_t group = 0; group < claimGroupCount; ++group) {
            members += Committee::of(roster, "claims:" + std::to_string(group)).members().size();
        }
    });
    ClaimGroups groups;
    std::size_t present = 0;
    const double own = millisecondsOf([&] { present = groups.groupsWith(roster, roster.members().front().id())->size(); });
    std::vector<std::string> live;
    for (const CatalogueMessages::Member &member : roster.members()) {
        live.push_back(member.id());
    }
    std::size_t winners = 0;
    const double candidates = millisecondsOf([&] {
        for (int shard = 0; shard < 256; ++shard) {
            winners += rendezvousWinner("shard:" + std::to_string(shard), live).size();
        }
    });
    std::printf("%5zu VMs: all %u committees %8.2f ms, own groups (%zu) %7.2f ms, candidates of 256 shards from all members %7.2f ms [%zu]\n",
        count,
        claimGroupCount,
        committees,
        present,
        own,
        candidates,
        members + winners);
}

} // namespace

int main()
{
    for (const std::size_t count : {std::size_t(44), std::size_t(1024), std::size_t(4900)}) {
        run(count);
    }
    return 0;
}
