#pragma once

#include "connection/httpmessage.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Hyssophall {

/// Gathers an upstream's answer from the HTTP client and judges whether it is whole.
class AnswerAssembler
{
public:
    AnswerAssembler(std::string method, std::size_t maximumBytes);

    /// Takes one header line with its line end. Interim (1xx) answers are skipped. False when the limit is passed.
    bool addHeaderLine(std::string_view line);

    /// Takes a part of the body. False when the limit is passed.
    bool addBody(std::string_view part);

    bool hasBegun() const;
    bool isOverLimit() const;

    /// True when the body ended as its head announced. Without a length and chunks, the end of the connection ends the body
    /// (RFC 9112, 6.3), so ask only when the connection wasn't reset.
    bool isWhole() const;

    HttpAnswer take();

private:
    bool hasNoBody() const;

    const std::string method;
    const std::size_t maximumBytes;
    HttpAnswer answer;
    std::size_t headerBytes = 0;
    bool overLimit = false;
    bool headEnded = false;
    bool chunked = false;
    bool ambiguousLength = false;
    std::optional<std::size_t> announcedLength;
};

} // namespace Hyssophall
