#pragma once

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace Hyssophall::CommandLine {

/// No address gave a decision. Source: AdministrationClient::send().
struct RequestFailed {
    /// A request may have reached a VM whose decision isn't known.
    bool mayHaveRun = false;
    std::string message;
};

/// A path's segment with all characters escaped that have a meaning in paths.
std::string escapedSegment(const std::string &segment);

/// Speaks to the administration ports of several VMs, one after the other until one decides.
class AdministrationClient
{
public:
    struct Reply {
        int status = 0;
        nlohmann::json body;
    };

    /// @p addresses as "host:port". An empty key sends no Authorization.
    AdministrationClient(std::vector<std::string> addresses, std::string operatorKey, std::chrono::milliseconds requestTimeout);

    /// Sends to each address until one answers with something other than 503 or 504. A repeated change is safe by its change id.
    /// Errors: RequestFailed.
    boost::leaf::result<Reply> send(const std::string &method, const std::string &path, const std::string &body) const;

    /// Sends to the first address alone and takes each status for an answer. Errors: RequestFailed.
    boost::leaf::result<Reply> sendToFirst(const std::string &method, const std::string &path, const std::string &body) const;

    /// A client with the same key for another VM.
    AdministrationClient withAddress(const std::string &address) const;

private:
    boost::leaf::result<Reply> sendTo(
        const std::string &address, const std::string &method, const std::string &path, const std::string &body, std::chrono::milliseconds timeout) const;

    std::vector<std::string> addresses;
    /// Index of the address that answered last, so that a silent VM costs one command its time only once.
    mutable std::size_t preferred = 0;
    std::string operatorKey;
    std::chrono::milliseconds requestTimeout;
};

} // namespace Hyssophall::CommandLine
