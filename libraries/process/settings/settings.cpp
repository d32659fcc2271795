#include "process/settings/settings.h"

#include "process/keyhash.h"
#include "process/settings/settingfields.h"

#include <boost/leaf/error.hpp>
#include <ini.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace Hyssophall {

namespace leaf = boost::leaf;

namespace {

using Fault = std::optional<InvalidSetting>;

// inih cuts longer lines (INI_MAX_LINE with its end) and would use the rest of the value as if it were all.
constexpr std::size_t maximumLineLength = 198;

/// What inih's callbacks share; inih asks for one line, then hands over its setting.
struct Reading {
    std::string_view unread;
    int line = 0;
    Settings settings;
    std::set<std::string> seen;
    Fault firstFault;
};

/// Has the contract of fgets().
char *nextLine(char *buffer, int size, void *stream)
{
    Reading &reading = *static_cast<Reading *>(stream);
    if (reading.unread.empty()) {
        return nullptr;
    }
    const std::size_t end = std::min(reading.unread.find('\n'), reading.unread.size() - 1) + 1;
    const std::size_t length = reading.unread.copy(buffer, std::min(end, static_cast<std::size_t>(size) - 1));
    buffer[length] = '\0';
    reading.unread.remove_prefix(length);
    ++reading.line;
    return buffer;
}

Fault readOperator(Settings &settings, const std::string &name, const std::string &value)
{
    if (!keyHashFromHexadecimal(value)) {
        return InvalidSetting{"", 0, "operators." + name, "the SHA-256 of the operator's key as 64 lower-case hexadecimal digits"};
    }
    settings.operators[name] = value;
    return std::nullopt;
}

Fault readSetting(Reading &reading, const std::string &section, const std::string &name, const std::string &value)
{
    const std::string setting = section + "." + name;
    if (!reading.seen.insert(setting).second) {
        return InvalidSetting{"", 0, setting, "to be set once, on one line"};
    }
    if (section == "operators") {
        return readOperator(reading.settings, name, value);
    }
    const auto position = detail::settingFields().find(setting);
    if (position == detail::settingFields().end()) {
        return InvalidSetting{"", 0, setting, "no setting of this name"};
    }
    if (!position->second.read(reading.settings, value)) {
        return InvalidSetting{"", 0, setting, position->second.expected};
    }
    return std::nullopt;
}

int readLine(void *user, const char *section, const char *name, const char *value)
{
    Reading &reading = *static_cast<Reading *>(user);
    Fault fault = readSetting(reading, section, name, value);
    if (!fault) {
        return 1;
    }
    if (!reading.firstFault) {
        fault->line = reading.line;
        reading.firstFault = std::move(fault);
    }
    return 0;
}

Fault findUnreadableLine(std::string_view text)
{
    if (text.find('\0') != std::string_view::npos) {
        return InvalidSetting{"", 0, "", "text without zero bytes"};
    }
    int line = 0;
    for (std::size_t start = 0; start < text.size();) {
        ++line;
        const std::size_t end = std::min(text.find('\n', start), text.size());
        if (end - start > maximumLineLength) {
            return InvalidSetting{"", line, "", "a line of at most 198 characters"};
        }
        start = end + 1;
    }
    return std::nullopt;
}

Fault findMissing(const Reading &reading)
{
    for (const std::pair<const std::string, detail::SettingField> &field : detail::settingFields()) {
        if (field.second.required && !reading.seen.contains(field.first)) {
            return InvalidSetting{"", 0, field.first, field.second.expected};
        }
    }
    if (reading.settings.vm.role == Role::Control && reading.settings.vm.dataFolder.empty()) {
        return InvalidSetting{"", 0, "vm.data_folder", "a path, because vm.role is control"};
    }
    const bool servesCallers = reading.settings.vm.role == Role::Entry || !reading.settings.relay.enabled;
    if (servesCallers && reading.settings.listen.caller.port == 0) {
        return InvalidSetting{"", 0, "listen.caller", "host:port with an IP number and a port from 1 to 65535"};
    }
    if (!servesCallers && reading.settings.listen.registration.port == 0) {
        return InvalidSetting{"", 0, "listen.registration", "host:port, because vm.role is control and relay.enabled is true"};
    }
    return std::nullopt;
}

Fault read(Reading &reading)
{
    if (Fault fault = findUnreadableLine(reading.unread)) {
        return fault;
    }
    const int line = ini_parse_stream(nextLine, &reading, readLine, &reading);
    if (line == 0) {
        return findMissing(reading);
    }
    if (reading.firstFault && reading.firstFault->line == line) {
        return reading.firstFault;
    }
    return InvalidSetting{"", line, "", "[section], name = value, or a comment"};
}

} // namespace

std::string Endpoint::address() const
{
    return this->host + ":" + std::to_string(this->port);
}

leaf::result<Settings> Settings::create(std::string_view text, const std::string &file)
{
    Reading reading;
    reading.unread = text;
    if (Fault fault = read(reading)) {
        fault->file = file;
        return leaf::new_error(std::move(*fault));
    }
    return std::move(reading.settings);
}

leaf::result<Settings> Settings::createFromFile(const std::string &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return leaf::new_error(InvalidSetting{file, 0, "", "a readable file that isn't empty"});
    }
    return create(text.str(), file);
}

} // namespace Hyssophall
