#pragma once

#include <chrono>
#include <map>
#include <string>

namespace Hyssophall::Harness {

/// One HTTP request of a test, on a connection of its own.
struct HttpRequest {
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{10000};
};

/// What came back.
struct HttpResponse {
    /// Zero when no whole answer came.
    long status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
};

/// Sends a request once. Never retries.
HttpResponse send(const HttpRequest &request);

HttpResponse get(const std::string &url, const std::map<std::string, std::string> &headers = {});

} // namespace Hyssophall::Harness
