#pragma once

#include "request/requestrecord.h"

#include <string>

namespace Hyssophall {

/// One line in OTLP's JSON form: the server span of a request and a client span for each try.
/// @p vm is the id of this VM. Keys and query strings are never part of it.
std::string spanLine(const RequestRecord &record, const std::string &vm);

} // namespace Hyssophall
