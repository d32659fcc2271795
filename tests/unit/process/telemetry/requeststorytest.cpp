#include "process/telemetry/requeststory.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace Hyssophall;

// Guards against a complaint whose cause can't be found from the request's id: an order failed on an instance that had just turned gray.
CATCH_TEST_CASE("The cause of a failed request is found from its id in the logs of all VMs", "[telemetry]")
{
    std::istringstream first(R"(not a line of the log
12.0 vm-1 {"event":"request","id":"a","vm":"vm-1","time":100.0,"status":500,"tries":[{"instance":"i-1","chosen_for":"gray=0.09","outcome":"server_error"}]}
{"message":"Configuration 12 is in force after 9","vm":"vm-1","time":98.0}
{"event":"request","id":"b","vm":"vm-1","time":100.1,"status":200,"tries":[{"instance":"i-2","outcome":"answered"}]}
{"message":"Relay r is current","vm":"vm-1","time":50.0}
)");
    std::istringstream second(R"({"event":"request","id":"c","vm":"vm-2","time":100.4,"status":500,"tries":[{"instance":"i-1","outcome":"server_error"}]}
{"message":"Instance i-1 of service s is REGISTRATION_STATE_GONE","vm":"vm-3","time":103.0}
{"message":"The connection to relay r has ended","vm":"vm-2","time":100.2}
)");
    RequestStory story("a");
    story.read(first);
    story.read(second);
    std::string text;
    for (const nlohmann::json &line : story.lines()) {
        text += RequestStory::sentence(line) + "\n";
    }
    CATCH_CHECK(text
        == "98.000 vm-1: Configuration 12 is in force after 9\n"
           "100.000 vm-1: request a of  on  -> 500 after 0 ms of 0, configuration 0; i-1 (gray=0.09): server_error 0 after 0 ms\n"
           "100.400 vm-2: request c of  on  -> 500 after 0 ms of 0, configuration 0; i-1 (): server_error 0 after 0 ms\n"
           "103.000 vm-3: Instance i-1 of service s is REGISTRATION_STATE_GONE\n");
    CATCH_CHECK(RequestStory("d").lines().empty());
}
