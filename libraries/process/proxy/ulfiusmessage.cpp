#include "process/proxy/ulfiusmessage.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace Hyssophall {

namespace {

// Returns the header name with a different combination of upper and lower case for each number. ulfius stores one value per spelling of a name, and
// several Set-Cookie headers can't be joined into one, so each cookie gets a spelling of its own.
std::string headerSpelling(std::string name, unsigned int number)
{
    for (std::size_t position = 0; position < name.size() && number > 0; ++position) {
        const unsigned char byte = static_cast<unsigned char>(name[position]);
        if (std::isalpha(byte) != 0) {
            name[position] = static_cast<char>((number & 1U) != 0 ? byte ^ 0x20U : byte);
            number >>= 1U;
        }
    }
    return name;
}

/// The value as the web server's library accepts it. From a header that it doesn't accept on, it would leave out all that follow. White space around a
/// value and the kind of white space in it have no meaning (RFC 9110, 5.5).
std::string sendableValue(std::string value)
{
    std::replace(value.begin(), value.end(), '\t', ' ');
    return value.empty() ? " " : value;
}

void putHeader(_u_map &headers, const HttpHeader &header)
{
    if (isSameHeaderName(header.name, "Set-Cookie")) {
        unsigned int number = 0;
        while (u_map_has_key(&headers, headerSpelling("Set-Cookie", number).c_str()) != 0) {
            ++number;
        }
        u_map_put(&headers, headerSpelling("Set-Cookie", number).c_str(), header.value.c_str());
        return;
    }
    const char *present = u_map_get_case(&headers, header.name.c_str());
    if (present == nullptr) {
        u_map_put(&headers, header.name.c_str(), header.value.c_str());
        return;
    }
    const std::string joined = std::string(present) + ", " + header.value;
    u_map_remove_from_key_case(&headers, header.name.c_str());
    u_map_put(&headers, header.name.c_str(), joined.c_str());
}

ssize_t noBytes(void *, std::uint64_t, char *, std::size_t)
{
    return U_STREAM_END;
}

std::optional<std::uint64_t> lengthOf(const HttpResponse &response)
{
    const std::string *text = findHeader(response.headers, "Content-Length");
    std::uint64_t length = 0;
    if (text == nullptr || std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc()) {
        return std::nullopt;
    }
    return length;
}

} // namespace

CallerRequest toCallerRequest(const _u_request &request)
{
    CallerRequest result;
    result.arrival = std::chrono::steady_clock::now();
    result.http.method = request.http_verb == nullptr ? "" : request.http_verb;
    result.http.target = request.http_url == nullptr ? "" : request.http_url;
    const char **names = u_map_enum_keys(request.map_header);
    for (std::size_t position = 0; names != nullptr && names[position] != nullptr; ++position) {
        const char *value = u_map_get(request.map_header, names[position]);
        result.http.headers.push_back({names[position], value == nullptr ? "" : value});
    }
    if (request.binary_body != nullptr) {
        result.http.body.assign(static_cast<const char *>(request.binary_body), request.binary_body_length);
    }
    return result;
}

void writeResponse(const HttpResponse &response, const std::string &method, _u_response &ulfiusResponse)
{
    const std::optional<std::uint64_t> headLength = method == "HEAD" ? lengthOf(response) : std::nullopt;
    if (headLength && *headLength > 0) {
        // For HEAD, libmicrohttpd sends the stream's length as Content-Length and reads nothing from the stream.
        ulfius_set_stream_response(&ulfiusResponse, static_cast<unsigned int>(response.status), noBytes, nullptr, *headLength, 1024, nullptr);
    } else if (response.body.empty()) {
        // ulfius_set_binary_body_response() rejects an empty body and would leave the status at 200.
        ulfius_set_empty_body_response(&ulfiusResponse, static_cast<unsigned int>(response.status));
    } else {
        ulfius_set_binary_body_response(&ulfiusResponse, static_cast<unsigned int>(response.status), response.body.data(), response.body.size());
    }
    for (const HttpHeader &header : response.headers) {
        if (!isSameHeaderName(header.name, "Content-Length") && isPlainHeader(header)) {
            putHeader(*ulfiusResponse.map_header, {header.name, sendableValue(header.value)});
        }
    }
}

} // namespace Hyssophall
