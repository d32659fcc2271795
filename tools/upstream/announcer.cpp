#include "announcer.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds announceTimeout{1000};

std::size_t discardBody(char *, std::size_t size, std::size_t count, void *)
{
    return size * count;
}

} // namespace

Announcer::Announcer(Options options)
    : options(std::move(options))
    , thread([this] { this->announceUntilStopped(); })
{
}

Announcer::~Announcer()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void Announcer::leave()
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->leaving = true;
        this->announceNow = true;
    }
    this->changed.notify_all();
}

std::uint64_t Announcer::acceptedCount() const
{
    return this->accepted;
}

void Announcer::announceUntilStopped()
{
    std::size_t next = this->options.incarnation % std::max<std::size_t>(1, this->options.targets.size());
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->stopping && !this->options.targets.empty()) {
        const bool announcesLeaving = this->leaving;
        this->announceNow = false;
        lock.unlock();
        bool taken = false;
        // A VM that can't be reached must not cost the lease, so the next one is tried at once.
        for (std::size_t tries = 0; !taken && tries < this->options.targets.size(); ++tries) {
            taken = this->announceOnce(this->options.targets[next], announcesLeaving);
            next = (next + 1) % this->options.targets.size();
        }
        this->accepted += taken ? 1 : 0;
        lock.lock();
        // Soon again after a refusal: the fleet may not have the service's entry in force yet.
        const std::chrono::milliseconds pause = taken ? this->options.interval : this->options.interval / 10;
        this->changed.wait_for(lock, pause, [this] { return this->stopping || this->announceNow; });
    }
}

bool Announcer::announceOnce(const std::string &target, bool leavingNow)
{
    const nlohmann::json announcement = {
        {"service", this->options.service},
        {"id", this->options.instanceId},
        {"incarnation", this->options.incarnation},
        {"host", this->options.host},
        {"port", this->options.port},
        {"failure_domain", this->options.failureDomain},
        {"slots", this->options.slots},
        {"connections", this->options.connections},
        {"state", leavingNow ? "leaving" : "ready"},
        {"lease_milliseconds", this->options.lease.count()},
    };
    const std::string body = announcement.dump();
    const std::string authorization = "Authorization: Bearer " + this->options.token;
    const std::string url = "http://" + target + "/v1/announce";
    CURL *handle = curl_easy_init();
    curl_slist *headers = curl_slist_append(nullptr, authorization.c_str());
    headers = curl_slist_append(headers, "Content-Type: application/json");
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(announceTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, discardBody);
    const CURLcode result = curl_easy_perform(handle);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(handle);
    return result == CURLE_OK && status >= 200 && status < 300;
}

} // namespace Hyssophall
