#include "process/proxy/ulfiusmessage.h"

#include <charconv>
#include <optional>

namespace Hyssophall {

namespace {

// ulfius keeps one value for each spelling of a name. Set-Cookie can't be joined to one line, so each cookie gets its own spelling.
std::string spelling(std::string name, unsigned int number)
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

void putHeader(_u_map &headers, const HttpHeader &header)
{
    if (isSameHeaderName(header.name, "Set-Cookie")) {
        unsigned int number = 0;
        while (u_map_has_key(&headers, spelling("Set-Cookie", number).c_str()) != 0) {
            ++number;
        }
        u_map_put(&headers, spelling("Set-Cookie", number).c_str(), header.value.c_str());
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

std::optional<std::uint64_t> lengthOf(const HttpAnswer &answer)
{
    const std::string *text = findHeader(answer.headers, "Content-Length");
    std::uint64_t length = 0;
    if (text == nullptr || std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc()) {
        return std::nullopt;
    }
    return length;
}

} // namespace

CallerRequest callerRequestOf(const _u_request &request)
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

void writeAnswer(const HttpAnswer &answer, const std::string &method, _u_response &response)
{
    const std::optional<std::uint64_t> headLength = method == "HEAD" ? lengthOf(answer) : std::nullopt;
    if (headLength && *headLength > 0) {
        // The web server announces the length of the stream but reads none of it for HEAD.
        ulfius_set_stream_response(&response, static_cast<unsigned int>(answer.status), noBytes, nullptr, *headLength, 1024, nullptr);
    } else if (answer.body.empty()) {
        // The function for bodies refuses an empty one and would leave the status at 200.
        ulfius_set_empty_body_response(&response, static_cast<unsigned int>(answer.status));
    } else {
        ulfius_set_binary_body_response(&response, static_cast<unsigned int>(answer.status), answer.body.data(), answer.body.size());
    }
    for (const HttpHeader &header : answer.headers) {
        if (!isSameHeaderName(header.name, "Content-Length")) {
            putHeader(*response.map_header, header);
        }
    }
}

} // namespace Hyssophall
