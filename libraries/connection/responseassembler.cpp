#include "connection/responseassembler.h"

#include <charconv>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::size_t maximumHeaderBytes = 64 * 1024;
/// A body up to this size doesn't draw on the budget, so that large ones can't keep small ones from being received.
constexpr std::size_t unreservedBytes = 64 * 1024;
/// Bytes are taken from the budget in parts of this size, in which the body's capacity grows as well.
constexpr std::size_t reservationStep = 256 * 1024;

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

template<typename Number>
std::optional<Number> parsedNumber(std::string_view text)
{
    Number number = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

ResponseAssembler::ResponseAssembler(std::string method, std::size_t maximumBytes, ByteBudget &budget)
    : method(std::move(method))
    , maximumBytes(maximumBytes)
    , budget(budget)
{
}

ResponseAssembler::~ResponseAssembler()
{
    this->budget.giveBack(this->reserved);
}

bool ResponseAssembler::reserve(std::size_t bytes)
{
    while (bytes > unreservedBytes && bytes > this->reserved) {
        if (!this->budget.tryTake(reservationStep)) {
            return false;
        }
        this->reserved += reservationStep;
        this->response.body.reserve(this->reserved);
    }
    return true;
}

bool ResponseAssembler::addHeaderLine(std::string_view line)
{
    this->headerBytes += line.size();
    if (this->headerBytes > maximumHeaderBytes) {
        this->overLimit = true;
        return false;
    }
    const std::string_view text = trimmed(line);
    // A line of white space alone continues the header before it. At the end of a connection, libcurl may deliver a part of a line.
    this->headersEnded = line == "\r\n" || line == "\n";
    if (text.substr(0, 5) == "HTTP/") {
        const std::size_t space = text.find(' ');
        const std::string_view status = space == std::string_view::npos ? std::string_view() : text.substr(space + 1, 3);
        this->response = HttpResponse();
        this->response.status = parsedNumber<int>(status).value_or(0);
        this->chunked = false;
        this->ambiguousLength = false;
        this->announcedLength.reset();
        return true;
    }
    const std::size_t colon = text.find(':');
    // Lines after the first byte of the body are trailers, which aren't forwarded.
    if (colon == std::string_view::npos || !this->response.body.empty()) {
        return true;
    }
    const HttpHeader &header
        = this->response.headers.emplace_back(HttpHeader{std::string(text.substr(0, colon)), std::string(trimmed(text.substr(colon + 1)))});
    if (isSameHeaderName(header.name, "Transfer-Encoding")) {
        this->chunked = isSameHeaderName(header.value, "chunked");
        this->ambiguousLength = this->ambiguousLength || !this->chunked;
    } else if (isSameHeaderName(header.name, "Content-Length")) {
        const std::optional<std::size_t> length = parsedNumber<std::size_t>(header.value);
        this->ambiguousLength = this->ambiguousLength || !length || (this->announcedLength && this->announcedLength != length);
        this->announcedLength = length;
    }
    return true;
}

bool ResponseAssembler::addBody(std::string_view part)
{
    const std::size_t size = this->response.body.size() + part.size();
    if (size > this->maximumBytes || !this->reserve(size)) {
        this->overLimit = true;
        return false;
    }
    this->response.body.append(part);
    return true;
}

bool ResponseAssembler::hasStarted() const
{
    return this->headerBytes > 0;
}

bool ResponseAssembler::isOverLimit() const
{
    return this->overLimit;
}

bool ResponseAssembler::neverHasBody() const
{
    return this->method == "HEAD" || this->response.status == 204 || this->response.status == 304;
}

bool ResponseAssembler::isComplete() const
{
    if (!this->headersEnded || this->response.status < 200 || this->response.status > 599 || this->ambiguousLength) {
        return false;
    }
    if (this->neverHasBody()) {
        return this->response.body.empty();
    }
    if (this->chunked) {
        // A response with both Content-Length and chunks is rejected, as it can be used for response smuggling.
        return !this->announcedLength;
    }
    return !this->announcedLength || *this->announcedLength == this->response.body.size();
}

HttpResponse ResponseAssembler::takeResponse()
{
    return std::move(this->response);
}

} // namespace Hyssophall
