#include "version/committee.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace Hyssophall;

namespace {

Roster createRoster(std::size_t count, std::size_t domains)
{
    std::vector<CatalogueMessages::Member> members(count);
    for (std::size_t index = 0; index < count; ++index) {
        members[index].set_id("vm-" + std::to_string(index));
        members[index].set_failure_domain("domain-" + std::to_string(index % domains));
    }
    return Roster(1, members);
}

std::size_t countCommon(const Committee &left, const Committee &right)
{
    return static_cast<std::size_t>(
        std::count_if(left.members().begin(), left.members().end(), [&right](const CatalogueMessages::Member &member) { return right.contains(member.id()); }));
}

/// Reference implementation: sorts all members by weight and fills the seats in two passes, the first of them with the limit per domain.
std::vector<std::string> naiveCommittee(const Roster &roster, const std::string &name)
{
    std::vector<CatalogueMessages::Member> members = roster.members();
    std::sort(members.begin(), members.end(), [&name](const CatalogueMessages::Member &left, const CatalogueMessages::Member &right) {
        return rendezvousWeight(name, left.id()) > rendezvousWeight(name, right.id());
    });
    std::set<std::string> domains;
    for (const CatalogueMessages::Member &member : members) {
        domains.insert(member.failure_domain());
    }
    const std::size_t size = std::min(Committee::maximumSize, members.size());
    const std::size_t domainLimit = (size + domains.size() - 1) / domains.size();
    std::map<std::string, std::size_t> counts;
    std::set<std::string> chosen;
    for (const bool isLimited : {true, false}) {
        for (const CatalogueMessages::Member &member : members) {
            const bool fits = !isLimited || counts[member.failure_domain()] < domainLimit;
            if (fits && chosen.size() < size && chosen.insert(member.id()).second) {
                ++counts[member.failure_domain()];
            }
        }
    }
    std::vector<std::string> ids;
    for (const CatalogueMessages::Member &member : members) {
        if (chosen.contains(member.id())) {
            ids.push_back(member.id());
        }
    }
    return ids;
}

} // namespace

CATCH_TEST_CASE("Committees and mayInclude() agree with a reference implementation for uneven failure domains", "[committee][at-most-once]")
{
    // Guards against VMs that compute different committees and so count quorums among different members, and against mayInclude() excluding a
    // member of a committee, which then wouldn't recover its claim group.
    std::mt19937 generator(7);
    for (int round = 0; round < 60; ++round) {
        std::vector<CatalogueMessages::Member> members;
        const std::size_t domains = 1 + generator() % 14;
        const std::size_t size = 1 + generator() % 80;
        for (std::size_t index = 0; index < size; ++index) {
            CatalogueMessages::Member member;
            member.set_id("vm-" + std::to_string(index));
            // The product of two random numbers makes domains of uneven size.
            member.set_failure_domain("domain-" + std::to_string((generator() % domains) * (generator() % domains) / domains));
            members.push_back(member);
        }
        const Roster roster(1, members);
        for (int number = 0; number < 20; ++number) {
            const std::string name = "claims:" + std::to_string(number);
            std::vector<std::string> ids;
            const Committee committee = Committee::of(roster, name);
            for (const CatalogueMessages::Member &member : committee.members()) {
                ids.push_back(member.id());
                CATCH_REQUIRE(Committee::mayInclude(roster, name, member));
            }
            CATCH_REQUIRE(ids == naiveCommittee(roster, name));
        }
    }
}

CATCH_TEST_CASE("A committee survives the loss of one failure domain out of three", "[committee][at-most-once]")
{
    // Guards against an uneven spread over failure domains: the members outside a failed domain would then be fewer than the quorum.
    const Roster roster = createRoster(44, 3);
    for (int number = 0; number < 500; ++number) {
        const Committee committee = Committee::of(roster, "shard:" + std::to_string(number));
        std::map<std::string, std::size_t> counts;
        for (const CatalogueMessages::Member &member : committee.members()) {
            ++counts[member.failure_domain()];
        }
        for (const std::pair<const std::string, std::size_t> &count : counts) {
            CATCH_REQUIRE(committee.members().size() - count.second >= committee.quorum());
        }
    }
}

CATCH_TEST_CASE("Quorums of rosters that differ in two members always meet", "[committee][at-most-once]")
{
    // Guards against two VMs with different roster versions that each get a quorum for the same name without a common member, so that both
    // would win the vote.
    const std::size_t sizes[] = {5, 9, 12, 44};
    for (const std::size_t size : sizes) {
        const Roster before = createRoster(size, 3);
        for (std::size_t removed = 0; removed < size; ++removed) {
            std::vector<CatalogueMessages::Member> members = before.members();
            members.erase(members.begin() + static_cast<std::ptrdiff_t>(removed));
            const Roster after(2, members);
            for (int number = 0; number < 50; ++number) {
                const std::string name = "claim:" + std::to_string(number);
                const Committee first = Committee::of(before, name);
                const Committee second = Committee::of(after, name);
                const std::size_t common = countCommon(first, second);
                const std::size_t outsideFirst = first.members().size() - common;
                const std::size_t outsideSecond = second.members().size() - common;
                // Each quorum needs at least this many votes of common members. The sum exceeds their number, so the two quorums share a member.
                CATCH_REQUIRE(first.quorum() - outsideFirst + second.quorum() - outsideSecond > common);
            }
        }
    }
}

CATCH_TEST_CASE("Removing a member reassigns only the names that were assigned to it", "[committee]")
{
    // Guards against a weight that depends on the other members, which would move names between the remaining members.
    std::vector<std::string> members;
    for (int index = 0; index < 20; ++index) {
        members.push_back("vm-" + std::to_string(index));
    }
    std::vector<std::string> remaining(members.begin() + 1, members.end());
    for (int number = 0; number < 1000; ++number) {
        const std::string name = "shard:" + std::to_string(number);
        const std::string before = rendezvousWinner(name, members);
        if (before != members.front()) {
            CATCH_REQUIRE(rendezvousWinner(name, remaining) == before);
        }
    }
}
