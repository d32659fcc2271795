#pragma once

#include "process/settings/settings.h"

#include <functional>
#include <map>
#include <string>

namespace Hyssophall::detail {

/// One setting: how it is read and what it must hold.
struct SettingField {
    /// Takes the value or returns false.
    std::function<bool(Settings &, const std::string &)> read;
    std::string expected;
    bool required = false;
};

/// All settings by "section.name", without the operators, whose names are free.
const std::map<std::string, SettingField> &settingFields();

/// "host:port" with an IPv4 number, or an IPv6 number in brackets.
bool readEndpoint(const std::string &text, Endpoint &endpoint);

} // namespace Hyssophall::detail
