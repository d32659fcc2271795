#include "connection/answerassembler.h"

#include <charconv>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::size_t maximumHeaderBytes = 64 * 1024;

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

AnswerAssembler::AnswerAssembler(std::string method, std::size_t maximumBytes)
    : method(std::move(method))
    , maximumBytes(maximumBytes)
{
}

bool AnswerAssembler::addHeaderLine(std::string_view line)
{
    this->headerBytes += line.size();
    if (this->headerBytes > maximumHeaderBytes) {
        this->overLimit = true;
        return false;
    }
    const std::string_view text = trimmed(line);
    this->headEnded = text.empty();
    if (text.substr(0, 5) == "HTTP/") {
        const std::size_t space = text.find(' ');
        const std::string_view status = space == std::string_view::npos ? std::string_view() : text.substr(space + 1, 3);
        this->answer = HttpAnswer();
        this->answer.status = parsedNumber<int>(status).value_or(0);
        this->chunked = false;
        this->ambiguousLength = false;
        this->announcedLength.reset();
        return true;
    }
    const std::size_t colon = text.find(':');
    // Lines after the first body byte are trailers, which aren't forwarded.
    if (colon == std::string_view::npos || !this->answer.body.empty()) {
        return true;
    }
    const HttpHeader &header = this->answer.headers.emplace_back(HttpHeader{std::string(text.substr(0, colon)), std::string(trimmed(text.substr(colon + 1)))});
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

bool AnswerAssembler::addBody(std::string_view part)
{
    if (this->answer.body.size() + part.size() > this->maximumBytes) {
        this->overLimit = true;
        return false;
    }
    this->answer.body.append(part);
    return true;
}

bool AnswerAssembler::hasBegun() const
{
    return this->headerBytes > 0;
}

bool AnswerAssembler::isOverLimit() const
{
    return this->overLimit;
}

bool AnswerAssembler::hasNoBody() const
{
    return this->method == "HEAD" || this->answer.status == 204 || this->answer.status == 304;
}

bool AnswerAssembler::isWhole() const
{
    if (!this->headEnded || this->answer.status < 200 || this->answer.status > 599 || this->ambiguousLength) {
        return false;
    }
    if (this->hasNoBody()) {
        return this->answer.body.empty();
    }
    if (this->chunked) {
        // Both a length and chunks are a way to smuggle an answer.
        return !this->announcedLength;
    }
    return !this->announcedLength || *this->announcedLength == this->answer.body.size();
}

HttpAnswer AnswerAssembler::take()
{
    return std::move(this->answer);
}

} // namespace Hyssophall
