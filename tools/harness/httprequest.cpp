#include "httprequest.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <string_view>

namespace Hyssophall::Harness {

namespace {

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *destination)
{
    static_cast<std::string *>(destination)->append(data, size * count);
    return size * count;
}

std::size_t addHeader(char *data, std::size_t size, std::size_t count, void *destination)
{
    const std::string line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        const std::size_t first = line.find_first_not_of(' ', colon + 1);
        const std::size_t last = line.find_last_not_of(" \r\n");
        (*static_cast<std::map<std::string, std::string> *>(destination))[name] = first <= last ? line.substr(first, last - first + 1) : std::string();
    }
    return size * count;
}

} // namespace

std::string HttpResponse::header(const std::string &name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

HttpResponse send(const HttpRequest &request)
{
    HttpResponse answer;
    CURL *handle = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, "Expect:");
    for (const std::pair<const std::string, std::string> &header : request.headers) {
        headers = curl_slist_append(headers, (header.first + ": " + header.second).c_str());
    }
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, addHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &answer.headers);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    if (curl_easy_perform(handle) == CURLE_OK) {
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(handle);
    return answer;
}

HttpResponse get(const std::string &url, const std::map<std::string, std::string> &headers)
{
    HttpRequest request;
    request.url = url;
    request.headers = headers;
    return send(request);
}

} // namespace Hyssophall::Harness
