#include "process/telemetry/requeststory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace Hyssophall {

namespace {

using Json = nlohmann::json;

bool isRequest(const Json &line)
{
    return line.value("event", "") == "request";
}

std::chrono::duration<double> timeOf(const Json &line)
{
    const auto time = line.find("time");
    return std::chrono::duration<double>(time != line.end() && time->is_number() ? time->get<double>() : 0.0);
}

std::set<std::string> instancesOf(const Json &line)
{
    std::set<std::string> instances;
    const auto tries = line.find("tries");
    if (tries != line.end() && tries->is_array()) {
        for (const Json &tried : *tries) {
            instances.insert(tried.value("instance", ""));
        }
    }
    return instances;
}

bool haveCommon(const std::set<std::string> &left, const std::set<std::string> &right)
{
    return std::any_of(left.begin(), left.end(), [&right](const std::string &each) { return right.count(each) > 0; });
}

bool mentions(const Json &line, const std::set<std::string> &instances)
{
    const std::string message = line.value("message", "");
    return std::any_of(instances.begin(), instances.end(), [&message](const std::string &instance) {
        return !instance.empty() && message.find(instance) != std::string::npos;
    });
}

} // namespace

RequestStory::RequestStory(std::string requestId)
    : requestId(std::move(requestId))
{
}

void RequestStory::read(std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        // Collectors put times and names of machines in front.
        const std::size_t begin = text.find('{');
        Json line = begin == std::string::npos ? Json() : Json::parse(text.substr(begin), nullptr, false);
        if (line.is_object()) {
            this->all.push_back(std::move(line));
        }
    }
}

std::vector<Json> RequestStory::lines() const
{
    std::vector<Json> own;
    std::set<std::string> vms;
    std::set<std::string> instances;
    for (const Json &line : this->all) {
        if (isRequest(line) && line.value("id", "") == this->requestId) {
            own.push_back(line);
            vms.insert(line.value("vm", ""));
            instances.merge(instancesOf(line));
        }
    }
    std::vector<Json> story;
    for (const Json &line : this->all) {
        const bool isOwn = isRequest(line) && line.value("id", "") == this->requestId;
        const bool isNear = std::any_of(own.begin(), own.end(), [&line](const Json &request) {
            const std::chrono::duration<double> apart = timeOf(line) - timeOf(request);
            return apart >= -window && apart <= window;
        });
        const bool isOnInstance = isRequest(line) && haveCommon(instances, instancesOf(line));
        const bool isBelief = !isRequest(line) && (vms.count(line.value("vm", "")) > 0 || mentions(line, instances));
        if (isOwn || (isNear && (isOnInstance || isBelief))) {
            story.push_back(line);
        }
    }
    std::stable_sort(story.begin(), story.end(), [](const Json &left, const Json &right) { return timeOf(left) < timeOf(right); });
    return story;
}

std::string RequestStory::sentence(const Json &line)
{
    std::ostringstream text;
    text.setf(std::ios::fixed);
    text.precision(3);
    text << timeOf(line).count() << " " << line.value("vm", "?") << ": ";
    if (!isRequest(line)) {
        text << line.value("message", line.value("event", line.dump()));
        return text.str();
    }
    text << "request " << line.value("id", "") << " of " << line.value("team", "") << " on " << line.value("route", "") << " -> " << line.value("status", 0)
         << " after " << line.value("ms", 0) << " ms of " << line.value("limit_ms", 0) << ", configuration " << line.value("catalogue", 0);
    if (line.contains("refusal")) {
        text << ", " << line.value("refusal", "") << " (" << line.value("outcome", "") << ")";
    }
    if (line.contains("rate")) {
        text << ", rate: " << line.value("rate", "");
    }
    for (const Json &tried : line.value("tries", Json::array())) {
        text << "; " << tried.value("instance", "") << " (" << tried.value("chosen_for", "") << "): " << tried.value("outcome", "") << " "
             << tried.value("status", 0) << " after " << tried.value("ms", 0) << " ms" << (tried.value("reused_connection", false) ? ", kept connection" : "");
    }
    if (line.contains("ended_for")) {
        text << "; no further try: " << line.value("ended_for", "");
    }
    return text.str();
}

} // namespace Hyssophall
