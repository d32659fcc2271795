#pragma once

#include "options.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Hyssophall::CommandLine {

/// Words that don't describe an entry. Source: entryFromWords().
struct InvalidWord {
    std::string message;
};

/// Reads an entry from words: one JSON object, or name=value for each field with lists separated by commas. announce_token=TOKEN is
/// hashed into announce_token_hash. @p kind is a field of Change, as in "put_team". Errors: InvalidWord.
boost::leaf::result<nlohmann::json> entryFromWords(const std::string &kind, const Words &words);

} // namespace Hyssophall::CommandLine
