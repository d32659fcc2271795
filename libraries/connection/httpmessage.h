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

/// A complete HTTP request.
struct HttpRequest {
    std::string method;
    /// Path with query, as in the request line.
    std::string target;
    HttpHeaders headers;
    std::string body;
};

/// A complete HTTP response.
struct HttpResponse {
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Compares header names, ignoring case.
bool isSameHeaderName(std::string_view left, std::string_view right);

/// The value of the first header with this name, or null. The pointer is valid as long as @p headers isn't changed.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

/// False for a header that an upstream could parse as several headers, because its name is empty or has a byte that isn't allowed in names, or its value
/// contains a line end or another control byte.
bool isPlainHeader(const HttpHeader &header);

} // namespace Hyssophall
