#pragma once

#include <map>
#include <string>
#include <vector>

namespace Hyssophall::Administration {

/// A request to the administration port, independent of the web server's types.
struct HttpRequest {
    std::string method;
    /// The path's segments after percent-decoding, such as {"v1", "keys", "mobile-1"}.
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;
    /// The key or token from "Authorization: Bearer ..."; empty if the request has none.
    std::string bearer;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
};

} // namespace Hyssophall::Administration
