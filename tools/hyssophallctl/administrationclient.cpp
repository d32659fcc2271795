#include "administrationclient.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace Hyssophall::CommandLine {

namespace leaf = boost::leaf;

using nlohmann::json;

namespace {

using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

HeaderList createHeaders(const std::string &operatorKey)
{
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/json");
    // Without this, libcurl waits for a "100 Continue" before larger bodies.
    headers = curl_slist_append(headers, "Expect:");
    if (!operatorKey.empty()) {
        headers = curl_slist_append(headers, ("Authorization: Bearer " + operatorKey).c_str());
    }
    return {headers, curl_slist_free_all};
}

bool isBeforeSending(CURLcode code)
{
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

} // namespace

std::string escapedSegment(const std::string &segment)
{
    char *escaped = curl_easy_escape(nullptr, segment.data(), static_cast<int>(segment.size()));
    std::string result = escaped == nullptr ? "" : escaped;
    curl_free(escaped);
    return result;
}

AdministrationClient::AdministrationClient(std::vector<std::string> addresses, std::string operatorKey, std::chrono::milliseconds requestTimeout)
    : addresses(std::move(addresses))
    , operatorKey(std::move(operatorKey))
    , requestTimeout(requestTimeout)
{
}

leaf::result<AdministrationClient::Reply> AdministrationClient::send(const std::string &method, const std::string &path, const std::string &body) const
{
    RequestFailed failure{false, "no address was given"};
    const bool isChange = method != "GET";
    // A VM that accepts connections and never answers must leave time for the others.
    const std::chrono::milliseconds share = this->requestTimeout / std::max<std::size_t>(1, this->addresses.size());
    for (std::size_t tried = 0; tried < this->addresses.size(); ++tried) {
        const std::string &address = this->addresses[this->preferred];
        std::optional<Reply> reply = leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<Reply>> {
                BOOST_LEAF_AUTO(answered, this->sendTo(address, method, path, body, share));
                return std::optional<Reply>(std::move(answered));
            },
            [&failure, isChange](const RequestFailed &failed) {
                failure = {failure.mayHaveRun || (isChange && failed.mayHaveRun), failed.message};
                return std::optional<Reply>();
            },
            []() { return std::optional<Reply>(); });
        if (reply && reply->status != 503 && reply->status != 504) {
            return std::move(*reply);
        }
        if (reply) {
            failure = {failure.mayHaveRun || (isChange && reply->status == 504), address + " answered " + reply->body.dump()};
        }
        this->preferred = (this->preferred + 1) % this->addresses.size();
    }
    return leaf::new_error(std::move(failure));
}

leaf::result<AdministrationClient::Reply> AdministrationClient::sendToFirst(const std::string &method, const std::string &path, const std::string &body) const
{
    return this->sendTo(this->addresses.front(), method, path, body, this->requestTimeout);
}

AdministrationClient AdministrationClient::withAddress(const std::string &address) const
{
    return AdministrationClient({address}, this->operatorKey, this->requestTimeout);
}

leaf::result<AdministrationClient::Reply> AdministrationClient::sendTo(
    const std::string &address, const std::string &method, const std::string &path, const std::string &body, std::chrono::milliseconds timeout) const
{
    const EasyHandle handle(curl_easy_init(), curl_easy_cleanup);
    const HeaderList headers = createHeaders(this->operatorKey);
    std::string answer;
    curl_easy_setopt(handle.get(), CURLOPT_URL, ("http://" + address + path).c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, 2000L);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer);
    if (method == "POST" || method == "PUT") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.data());
    }
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        return leaf::new_error(RequestFailed{!isBeforeSending(code), address + ": " + curl_easy_strerror(code)});
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    json parsed = json::parse(answer, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_object()) {
        return leaf::new_error(RequestFailed{true, address + ": the answer is no JSON object; is this an administration port?"});
    }
    return Reply{static_cast<int>(status), std::move(parsed)};
}

} // namespace Hyssophall::CommandLine
