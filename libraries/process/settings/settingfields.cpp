#include "process/settings/settingfields.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>

namespace Hyssophall::detail {

namespace {

constexpr std::size_t maximumNameLength = 128;
constexpr std::size_t minimumSecretLength = 16;

using Reader = std::function<bool(Settings &, const std::string &)>;

/// Where a value of this type lies in the settings.
template<typename Value>
using Place = std::function<Value &(Settings &)>;

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '.'
        || character == '_' || character == '-';
}

bool readNumber(const std::string &text, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t &number)
{
    const char *end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end && number >= minimum && number <= maximum;
}

SettingField nameField(Place<std::string> place)
{
    const Reader read = [place = std::move(place)](Settings &settings, const std::string &text) {
        place(settings) = text;
        return !text.empty() && text.size() <= maximumNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
    };
    return {read, "1 to 128 letters, digits, '.', '_' or '-'", true};
}

SettingField pathField(Place<std::string> place)
{
    const Reader read = [place = std::move(place)](Settings &settings, const std::string &text) {
        place(settings) = text;
        return !text.empty();
    };
    return {read, "a path"};
}

SettingField endpointField(Place<Endpoint> place)
{
    const Reader read = [place = std::move(place)](Settings &settings, const std::string &text) { return readEndpoint(text, place(settings)); };
    return {read, "host:port with an IP number and a port from 1 to 65535", true};
}

SettingField optionalEndpointField(Place<Endpoint> place)
{
    SettingField field = endpointField(std::move(place));
    field.required = false;
    return field;
}

bool readAddresses(const std::string &text, std::vector<std::string> &addresses)
{
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        const std::size_t first = std::min(text.find_first_not_of(" \t", start), end);
        const std::size_t last = text.find_last_not_of(" \t", end == 0 ? 0 : end - 1);
        const std::string address = first < end ? text.substr(first, last - first + 1) : "";
        Endpoint endpoint;
        if (!readEndpoint(address, endpoint) || std::find(addresses.begin(), addresses.end(), address) != addresses.end()) {
            return false;
        }
        addresses.push_back(address);
        start = end + 1;
    }
    return true;
}

SettingField addressesField(Place<std::vector<std::string>> place)
{
    const Reader read = [place = std::move(place)](Settings &settings, const std::string &text) { return readAddresses(text, place(settings)); };
    return {read, "distinct host:port with IP numbers, separated by commas"};
}

template<typename Count>
SettingField countField(Place<Count> place, std::uint64_t minimum, std::uint64_t maximum, const std::string &unit)
{
    const Reader read = [place = std::move(place), minimum, maximum](Settings &settings, const std::string &text) {
        std::uint64_t number = 0;
        const bool valid = readNumber(text, minimum, maximum, number);
        place(settings) = Count(static_cast<std::int64_t>(number));
        return valid;
    };
    return {read, unit + " from " + std::to_string(minimum) + " to " + std::to_string(maximum)};
}

/// A decimal number of seconds from 0 to @p maximum.
SettingField secondsField(Place<std::chrono::milliseconds> place, double maximum)
{
    const Reader read = [place = std::move(place), maximum](Settings &settings, const std::string &text) {
        double seconds = 0;
        const char *end = text.data() + text.size();
        const std::from_chars_result parsed = std::from_chars(text.data(), end, seconds);
        if (parsed.ec != std::errc() || parsed.ptr != end || !(seconds >= 0 && seconds <= maximum)) {
            return false;
        }
        place(settings) = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
        return true;
    };
    return {read, "seconds from 0 to " + std::to_string(static_cast<int>(maximum))};
}

SettingField flagField(Place<bool> place)
{
    const Reader read = [place = std::move(place)](Settings &settings, const std::string &text) {
        place(settings) = text == "true";
        return text == "true" || text == "false";
    };
    return {read, "true or false"};
}

SettingField headerField(Place<std::string> place)
{
    const Reader read = [place = std::move(place)](Settings &settings, const std::string &text) {
        place(settings) = text;
        return !text.empty() && text.size() <= maximumNameLength
            && std::all_of(text.begin(), text.end(), [](char character) { return isNameCharacter(character) && character != '.'; });
    };
    return {read, "the name of a header"};
}

SettingField shareField(Place<double> place)
{
    const Reader read = [place = std::move(place)](Settings &settings, const std::string &text) {
        double &share = place(settings);
        const char *end = text.data() + text.size();
        const std::from_chars_result parsed = std::from_chars(text.data(), end, share);
        return parsed.ec == std::errc() && parsed.ptr == end && share >= 0 && share <= 1;
    };
    return {read, "a number from 0 to 1"};
}

SettingField millisecondsField(Place<std::chrono::milliseconds> place, std::uint64_t minimum, std::uint64_t maximum)
{
    return countField<std::chrono::milliseconds>(std::move(place), minimum, maximum, "milliseconds");
}

bool readRole(Settings &settings, const std::string &text)
{
    settings.vm.role = text == "control" ? Role::Control : Role::Entry;
    return text == "entry" || text == "control";
}

bool readSecret(Settings &settings, const std::string &text)
{
    settings.fleet.secret = text;
    return text.size() >= minimumSecretLength;
}

std::map<std::string, SettingField> vmFields()
{
    return {
        {"vm.id", nameField([](Settings &settings) -> std::string & { return settings.vm.id; })},
        {"vm.failure_domain", nameField([](Settings &settings) -> std::string & { return settings.vm.failureDomain; })},
        {"vm.role", {readRole, "entry or control"}},
        {"vm.data_folder", pathField([](Settings &settings) -> std::string & { return settings.vm.dataFolder; })},
        {"listen.caller", optionalEndpointField([](Settings &settings) -> Endpoint & { return settings.listen.caller; })},
        {"listen.registration", optionalEndpointField([](Settings &settings) -> Endpoint & { return settings.listen.registration; })},
        {"listen.administration", endpointField([](Settings &settings) -> Endpoint & { return settings.listen.administration; })},
        {"listen.fleet", endpointField([](Settings &settings) -> Endpoint & { return settings.listen.fleet; })},
        {"listen.maximum_connections",
            countField<std::size_t>([](Settings &settings) -> std::size_t & { return settings.listen.maximumConnections; }, 1, 100000, "connections")},
        {"telemetry.trace_file", pathField([](Settings &settings) -> std::string & { return settings.telemetry.traceFile; })},
        {"telemetry.log_file", pathField([](Settings &settings) -> std::string & { return settings.telemetry.logFile; })},
    };
}

std::map<std::string, SettingField> fleetFields()
{
    using Milliseconds = std::chrono::milliseconds;
    return {
        {"fleet.secret", {readSecret, "at least 16 characters", true}},
        {"fleet.peers", addressesField([](Settings &settings) -> std::vector<std::string> & { return settings.fleet.peers; })},
        {"fleet.gossip_interval_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.fleet.gossipInterval; }, 10, 10000)},
        {"fleet.shard_lease_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.fleet.shardLease; }, 100, 60000)},
        {"fleet.serving_lease_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.fleet.servingLease; }, 100, 60000)},
        {"control.replicas", addressesField([](Settings &settings) -> std::vector<std::string> & { return settings.control.replicas; })},
        {"control.heartbeat_interval_ms",
            millisecondsField([](Settings &settings) -> Milliseconds & { return settings.control.heartbeatInterval; }, 10, 10000)},
        {"control.election_timeout_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.control.electionTimeout; }, 50, 60000)},
    };
}

std::map<std::string, SettingField> relayFields()
{
    return {
        {"relay.enabled", flagField([](Settings &settings) -> bool & { return settings.relay.enabled; })},
        {"relay.seeds", addressesField([](Settings &settings) -> std::vector<std::string> & { return settings.relay.seeds; })},
        {"relay.cross_domain_cost",
            countField<std::size_t>([](Settings &settings) -> std::size_t & { return settings.relay.crossDomainCost; }, 0, 1000, "thousandths of a request")},
        {"relay.cross_domain_cost_per_kilobyte",
            countField<std::size_t>(
                [](Settings &settings) -> std::size_t & { return settings.relay.crossDomainCostOfKilobyte; }, 0, 1000, "thousandths of a request")},
        {"control.tolerated_losses",
            countField<std::size_t>([](Settings &settings) -> std::size_t & { return settings.control.toleratedLosses; }, 0, 3, "control VMs")},
        {"control.first_start", flagField([](Settings &settings) -> bool & { return settings.control.isFirstStart; })},
        {"control.recall_grace_ms",
            millisecondsField([](Settings &settings) -> std::chrono::milliseconds & { return settings.control.recallGrace; }, 100, 600000)},
        {"bounds.retry_ratio", shareField([](Settings &settings) -> double & { return settings.bounds.retryRatio; })},
        {"bounds.retry_slack", countField<std::size_t>([](Settings &settings) -> std::size_t & { return settings.bounds.retrySlack; }, 0, 1000000, "retries")},
        {"bounds.retry_window_s",
            countField<std::chrono::seconds>([](Settings &settings) -> std::chrono::seconds & { return settings.bounds.retryWindow; }, 1, 600, "seconds")},
        {"bounds.rate_window_s",
            countField<std::chrono::seconds>([](Settings &settings) -> std::chrono::seconds & { return settings.bounds.rateWindow; }, 0, 600, "seconds")},
        {"bounds.rate_overage", shareField([](Settings &settings) -> double & { return settings.bounds.rateOverage; })},
        {"bounds.rate_slack", countField<std::size_t>([](Settings &settings) -> std::size_t & { return settings.bounds.rateSlack; }, 0, 1000000, "requests")},
        {"bounds.fail_closed", flagField([](Settings &settings) -> bool & { return settings.bounds.failClosed; })},
        {"headers.key", headerField([](Settings &settings) -> std::string & { return settings.headers.key; })},
        {"headers.deadline", headerField([](Settings &settings) -> std::string & { return settings.headers.deadline; })},
        {"headers.team", headerField([](Settings &settings) -> std::string & { return settings.headers.team; })},
        {"headers.target_instance", headerField([](Settings &settings) -> std::string & { return settings.headers.targetInstance; })},
        {"headers.not_run", headerField([](Settings &settings) -> std::string & { return settings.headers.notRun; })},
        {"headers.leaving", headerField([](Settings &settings) -> std::string & { return settings.headers.leaving; })},
        {"headers.request_limit", headerField([](Settings &settings) -> std::string & { return settings.headers.requestLimit; })},
        {"headers.forward_request_id", flagField([](Settings &settings) -> bool & { return settings.headers.forwardsRequestId; })},
    };
}

std::map<std::string, SettingField> requestFields()
{
    using Milliseconds = std::chrono::milliseconds;
    constexpr std::uint64_t gibibyte = 1024ULL * 1024 * 1024;
    return {
        {"limits.maximum_request_bytes",
            countField<std::size_t>([](Settings &settings) -> std::size_t & { return settings.limits.maximumRequestBytes; }, 1, gibibyte, "bytes")},
        {"limits.maximum_answer_bytes",
            countField<std::size_t>([](Settings &settings) -> std::size_t & { return settings.limits.maximumAnswerBytes; }, 1, gibibyte, "bytes")},
        {"limits.buffered_answer_bytes",
            countField<std::size_t>([](Settings &settings) -> std::size_t & { return settings.limits.bufferedAnswerBytes; }, 1, gibibyte, "bytes")},
        {"limits.owner_wait_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.limits.ownerWait; }, 0, 60000)},
        {"limits.rate_wait_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.limits.rateWait; }, 0, 60000)},
        {"limits.connect_timeout_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.limits.connectTimeout; }, 1, 60000)},
        {"limits.default_timeout_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.limits.defaultTimeout; }, 1, 3600000)},
        {"claims.retention_s",
            countField<std::chrono::seconds>([](Settings &settings) -> std::chrono::seconds & { return settings.claims.retention; }, 1, 86400, "seconds")},
        {"claims.maximum_body_bytes",
            countField<std::size_t>([](Settings &settings) -> std::size_t & { return settings.claims.maximumBodyBytes; }, 0, 1024 * 1024, "bytes")},
        {"shutdown.drain_notice_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.shutdown.drainNotice; }, 0, 600000)},
        {"shutdown.drain_limit_ms", millisecondsField([](Settings &settings) -> Milliseconds & { return settings.shutdown.drainLimit; }, 0, 3600000)},
        {"shutdown.kill_after_s", secondsField([](Settings &settings) -> Milliseconds & { return settings.shutdown.killAfter; }, 3600)},
    };
}

} // namespace

const std::map<std::string, SettingField> &settingFields()
{
    static const std::map<std::string, SettingField> fields = []() {
        std::map<std::string, SettingField> all = vmFields();
        all.merge(fleetFields());
        all.merge(requestFields());
        all.merge(relayFields());
        return all;
    }();
    return fields;
}

bool readEndpoint(const std::string &text, Endpoint &endpoint)
{
    const std::size_t colon = text.rfind(':');
    std::uint64_t port = 0;
    if (colon == std::string::npos || !readNumber(text.substr(colon + 1), 1, std::numeric_limits<unsigned short>::max(), port)) {
        return false;
    }
    const std::string host = text.substr(0, colon);
    std::array<unsigned char, sizeof(in6_addr)> address{};
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    const bool isNumber = isBracketed ? inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), address.data()) == 1
                                      : inet_pton(AF_INET, host.c_str(), address.data()) == 1;
    endpoint = {host, static_cast<unsigned short>(port)};
    return isNumber;
}

} // namespace Hyssophall::detail
