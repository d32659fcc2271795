#include "process/relay/counttable.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>

using namespace Hyssophall;

namespace {

struct Count {
    std::string key;
    std::uint32_t value = 0;
};

} // namespace

// Guards against counts that are lost, doubled or charged to another key when the table grows, is emptied in part or has keys with colliding hashes.
CATCH_TEST_CASE("A count table holds the same as a map", "[relay]")
{
    std::mt19937_64 random(11);
    CountTable<Count> table;
    std::map<std::string, std::uint32_t> expected;
    for (int step = 0; step < 20000; ++step) {
        const std::string key = "team" + std::to_string(random() % 300);
        table[key].value += 1;
        expected[key] += 1;
        if (step % 500 == 499) {
            std::map<std::string, std::uint32_t> taken;
            const std::uint32_t limit = random() % 4;
            table.removeIf([&taken, limit](Count &count) {
                if (count.value < limit) {
                    return false;
                }
                taken[count.key] = count.value;
                return true;
            });
            std::erase_if(expected, [&taken, limit](const std::pair<const std::string, std::uint32_t> &entry) {
                const auto found = taken.find(entry.first);
                return entry.second >= limit && found != taken.end() && found->second == entry.second;
            });
        }
    }
    std::map<std::string, std::uint32_t> remaining;
    table.removeIf([&remaining](Count &count) {
        remaining[count.key] = count.value;
        return true;
    });
    CATCH_CHECK(remaining == expected);
    CATCH_CHECK(table.empty());
    table["team1"].value = 5;
    table.clear();
    CATCH_CHECK(table.empty());
    CATCH_CHECK(table["team1"].value == 0);
}
