#pragma once

#include "connection/bytebudget.h"
#include "connection/httpmessage.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Hyssophall {

/// Builds a response from the header lines and body parts that libcurl delivers, and determines whether the response is complete.
class ResponseAssembler
{
public:
    /// @p method is the method of the request, @p maximumBytes the largest body allowed. A body of over 64 KiB also needs room in @p budget, which all
    /// responses of the VM share, until the assembler is destroyed.
    ResponseAssembler(std::string method, std::size_t maximumBytes, ByteBudget &budget);
    ~ResponseAssembler();
    ResponseAssembler(const ResponseAssembler &) = delete;
    ResponseAssembler &operator=(const ResponseAssembler &) = delete;

    /// Adds one header line, including its line end. Interim (1xx) responses are skipped. False if the header section exceeds 64 KiB.
    bool addHeaderLine(std::string_view line);

    /// Adds a part of the body. False if the body exceeds its maximum size, or the budget is used up.
    bool addBody(std::string_view part);

    /// True once any byte of the response was received.
    bool hasStarted() const;
    bool isOverLimit() const;

    /// True if the body is complete according to the headers. A body without Content-Length and chunks ends with the connection (RFC 9112, 6.3), so the
    /// result is valid only if the connection wasn't reset.
    bool isComplete() const;

    /// Moves the response out of the assembler.
    HttpResponse takeResponse();

private:
    bool neverHasBody() const;

    bool reserve(std::size_t bytes);

    const std::string method;
    const std::size_t maximumBytes;
    ByteBudget &budget;
    /// Bytes taken from the budget.
    std::size_t reserved = 0;
    HttpResponse response;
    std::size_t headerBytes = 0;
    bool overLimit = false;
    bool headersEnded = false;
    bool chunked = false;
    bool ambiguousLength = false;
    std::optional<std::size_t> announcedLength;
};

} // namespace Hyssophall
