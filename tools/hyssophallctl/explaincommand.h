#pragma once

#include "exitcode.h"
#include "options.h"

namespace Hyssophall::CommandLine {

/// Prints what the logs tell of one request. @p words are its id and the log files; without files, standard input is read.
ExitCode explain(const Words &words, bool json);

} // namespace Hyssophall::CommandLine
