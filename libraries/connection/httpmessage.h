#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Hyssophall {

/// One header field of an HTTP message.
struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// A whole HTTP request.
struct HttpRequest {
    std::string method;
    /// Path with query, as on the request line.
    std::string target;
    HttpHeaders headers;
    std::string body;
};

/// A whole HTTP answer.
struct HttpAnswer {
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Compares header names, which ignore case.
bool isSameHeaderName(std::string_view left, std::string_view right);

/// The value of the first header with this name, or null. Valid as long as @p headers.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

/// False for a header that could be read as more than one: no name, or line ends and other control bytes.
bool isPlainHeader(const HttpHeader &header);

} // namespace Hyssophall
