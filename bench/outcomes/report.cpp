#include "report.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <map>

namespace HyssophallBench {

using nlohmann::json;

namespace {

// An instance has lost its requests when it gets less than this part of an equal share.
constexpr double lostShare = 0.25;
constexpr double shareSpan = 1;
// A slow instance is still in use while answers take as long as this.
constexpr double slowMilliseconds = 150;
// A bad answer this close to the fault's end means that the fault wasn't detected within it.
constexpr double endMargin = 0.5;

bool isBad(const FaultWindow &window, const Sample &sample)
{
    const bool delays = window.kind == FaultKind::Slow || window.kind == FaultKind::Hang;
    return sample.isFailure() || (delays && sample.milliseconds >= slowMilliseconds);
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

json inMilliseconds(const std::optional<double> &seconds)
{
    return seconds ? json(static_cast<int>(*seconds * 1000)) : json();
}

/// Time until the instance had lost its requests for the rest of the fault; nothing when it kept them.
std::optional<double> shareGone(const Scenario &scenario, const FaultWindow &window, const WindowObservation &observation)
{
    double total = 0;
    for (const TeamPlan &team : scenario.teams) {
        total += team.sends;
    }
    const ServicePlan &service = scenario.services[window.service];
    const double equalShare = total * service.share / service.instances * shareSpan;
    std::optional<double> gone;
    for (std::size_t begin = 0, end = 0; begin < observation.taken.size(); ++begin) {
        while (end < observation.taken.size() && observation.taken[end].first < observation.taken[begin].first + shareSpan) {
            ++end;
        }
        if (end == observation.taken.size()) {
            break;
        }
        const double taken = static_cast<double>(observation.taken[end].second) - static_cast<double>(observation.taken[begin].second);
        if (taken >= lostShare * equalShare) {
            gone.reset();
        } else if (!gone) {
            gone = observation.taken[begin].first;
        }
    }
    return gone;
}

json measureWindow(const Scenario &scenario, std::size_t index, const std::vector<Sample> &samples, const WindowObservation &observation)
{
    const FaultWindow &window = scenario.windows[index];
    std::size_t requests = 0;
    std::size_t failures = 0;
    std::size_t bad = 0;
    double lastBad = 0;
    std::map<std::string, std::size_t> refusals;
    std::vector<double> latencies;
    for (std::size_t position = 0; position < samples.size(); ++position) {
        const Arrival &arrival = scenario.arrivals[position];
        const Sample &sample = samples[position];
        if (arrival.window != index || (window.kind == FaultKind::TeamFlood && arrival.team == window.team)) {
            continue;
        }
        ++requests;
        failures += sample.isFailure() ? 1 : 0;
        if (sample.isRefused()) {
            ++refusals[sample.refusal];
        } else {
            latencies.push_back(sample.milliseconds);
        }
        if (arrival.service == window.service && arrival.at < window.clear && isBad(window, sample)) {
            ++bad;
            lastBad = arrival.at - window.begin;
        }
    }
    json result = {{"fault", nameOf(window.kind)},
        {"requests", requests},
        {"failures", failures},
        {"refusals", refusals},
        {"p99_ms", percentile(latencies, 0.99)},
        {"false_ejections", observation.falselyEjected},
        {"false_ejections_on_vms", observation.falseEjectionsOnVms}};
    if (window.hitsInstance()) {
        const bool detected = lastBad < window.clear - window.begin - endMargin;
        result["target"] = scenario.services[window.service].name + "-" + std::to_string(window.instance);
        result["bad_answers"] = bad;
        result["bad_answers_gone_ms"] = inMilliseconds(detected ? std::optional<double>(lastBad) : std::nullopt);
        result["share_gone_ms"] = window.kind == FaultKind::Killed ? json() : inMilliseconds(shareGone(scenario, window, observation));
        result["first_ejected_ms"] = inMilliseconds(observation.firstEjected);
        result["ejected_on_all_ms"] = inMilliseconds(observation.ejectedOnAll);
        result["ejecting_vms"] = observation.ejectingVms;
    }
    return result;
}

json measureTeams(const Scenario &scenario, const std::vector<Sample> &samples)
{
    json teams = json::array();
    for (std::size_t team = 0; team < scenario.teams.size(); ++team) {
        std::size_t requests = 0;
        std::size_t answered = 0;
        std::size_t refused = 0;
        std::vector<double> latencies;
        for (std::size_t position = 0; position < samples.size(); ++position) {
            const Arrival &arrival = scenario.arrivals[position];
            const FaultWindow &window = scenario.windows[arrival.window];
            // While it floods, a team isn't within its rate.
            if (arrival.team != team || (window.kind == FaultKind::TeamFlood && window.team == team)) {
                continue;
            }
            ++requests;
            refused += samples[position].isRefused() ? 1 : 0;
            if (samples[position].isAnswered()) {
                ++answered;
                latencies.push_back(samples[position].milliseconds);
            }
        }
        const double share = requests == 0 ? 1 : static_cast<double>(answered) / static_cast<double>(requests);
        teams.push_back({{"team", scenario.teams[team].name},
            {"requests", requests},
            {"answered_share", share},
            {"refused", refused},
            {"p50_ms", percentile(latencies, 0.5)},
            {"p99_ms", percentile(latencies, 0.99)}});
    }
    return teams;
}

std::string number(const json &value)
{
    return value.is_null() ? "-" : value.is_number_float() ? absl::StrFormat("%.1f", value.get<double>()) : value.dump();
}

std::string windowRow(const json &fleet, const json &baseline)
{
    const auto cells = [](const json &window) {
        std::size_t refused = 0;
        for (const json &count : window["refusals"]) {
            refused += count.get<std::size_t>();
        }
        const auto of = [&window](const char *name) { return number(window.value(name, json())); };
        return absl::StrFormat("%5s %6s %6s %6s %6s %5d %4s",
            of("failures"),
            of("bad_answers_gone_ms"),
            of("share_gone_ms"),
            of("first_ejected_ms"),
            of("ejected_on_all_ms"),
            refused,
            of("false_ejections_on_vms"));
    };
    return absl::StrFormat("%-16s |%s |%s\n", fleet["fault"].get<std::string>(), cells(fleet), cells(baseline));
}

std::string totalsOf(const char *name, const json &side)
{
    return absl::StrFormat(
        "%-9s failures %d, refused inside rate %d, false ejections %d (on VMs %d), worst team %.3f %% p99 %.0f ms, best team %.3f %% p99 %.0f ms\n",
        name,
        side["failures"].get<int>(),
        side["refused_inside_rate"].get<int>(),
        side["false_ejections"].get<int>(),
        side["false_ejections_on_vms"].get<int>(),
        100 * side["worst_team"]["answered_share"].get<double>(),
        side["worst_p99_ms"].get<double>(),
        100 * side["best_team"]["answered_share"].get<double>(),
        side["best_p99_ms"].get<double>());
}

} // namespace

json measure(const Scenario &scenario, const std::vector<Sample> &samples, const std::vector<WindowObservation> &observations)
{
    json result = {{"windows", json::array()}, {"failures", 0}, {"refused_inside_rate", 0}, {"false_ejections", 0}, {"false_ejections_on_vms", 0}};
    for (std::size_t index = 0; index < scenario.windows.size(); ++index) {
        const json window = measureWindow(scenario, index, samples, observations[index]);
        result["failures"] = result["failures"].get<std::size_t>() + window["failures"].get<std::size_t>();
        for (const json &count : window["refusals"]) {
            result["refused_inside_rate"] = result["refused_inside_rate"].get<std::size_t>() + count.get<std::size_t>();
        }
        result["false_ejections"] = result["false_ejections"].get<std::size_t>() + window["false_ejections"].size();
        result["false_ejections_on_vms"] = result["false_ejections_on_vms"].get<std::size_t>() + window["false_ejections_on_vms"].get<std::size_t>();
        result["windows"].push_back(window);
    }
    result["teams"] = measureTeams(scenario, samples);
    const auto byShare = [](const json &left, const json &right) { return left["answered_share"] < right["answered_share"]; };
    const auto byLatency = [](const json &left, const json &right) { return left["p99_ms"] < right["p99_ms"]; };
    result["worst_team"] = *std::min_element(result["teams"].begin(), result["teams"].end(), byShare);
    result["best_team"] = *std::max_element(result["teams"].begin(), result["teams"].end(), byShare);
    result["worst_p99_ms"] = (*std::max_element(result["teams"].begin(), result["teams"].end(), byLatency))["p99_ms"];
    result["best_p99_ms"] = (*std::min_element(result["teams"].begin(), result["teams"].end(), byLatency))["p99_ms"];
    return result;
}

std::string table(const json &fleet, const json &baseline)
{
    const std::string cells = " fail answer  share  eject    all  refd fals";
    std::string text = absl::StrFormat("%-16s |%s |%s\n", "", cells, cells);
    for (std::size_t index = 0; index < fleet["windows"].size(); ++index) {
        text += windowRow(fleet["windows"][index], baseline["windows"][index]);
    }
    return text + totalsOf("fleet", fleet) + totalsOf("baseline", baseline);
}

} // namespace HyssophallBench
