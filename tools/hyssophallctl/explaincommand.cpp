#include "explaincommand.h"

#include "process/telemetry/requeststory.h"
#include "session.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace Hyssophall::CommandLine {

ExitCode explain(const Words &words, bool json)
{
    if (words.empty()) {
        return Session::refuse("the id of a request is needed");
    }
    RequestStory story(words.front());
    if (words.size() == 1) {
        story.read(std::cin);
    }
    for (std::size_t index = 1; index < words.size(); ++index) {
        std::ifstream log(words[index]);
        if (!log) {
            return Session::refuse(words[index] + " can't be read");
        }
        story.read(log);
    }
    const std::vector<nlohmann::json> lines = story.lines();
    if (lines.empty()) {
        std::cerr << "The request isn't in these logs; lines of successes are the first that are dropped" << std::endl;
        return ExitCode::Invalid;
    }
    for (const nlohmann::json &line : lines) {
        std::cout << (json ? line.dump() : RequestStory::sentence(line)) << "\n";
    }
    return ExitCode::Done;
}

} // namespace Hyssophall::CommandLine
