#include "loadrun.h"

#include <curl/curl.h>

#include <algorithm>
#include <random>
#include <string_view>
#include <thread>
#include <utility>

namespace Hyssophall {

namespace {

std::size_t discardBody(char *, std::size_t size, std::size_t count, void *)
{
    return size * count;
}

struct RefusalHeaders {
    std::string refusal;
    std::string outcome;
};

std::string valueAfter(std::string_view line, std::string_view name)
{
    if (line.size() <= name.size() || !std::equal(name.begin(), name.end(), line.begin(), [](char left, char right) { return left == std::tolower(right); })) {
        return {};
    }
    line.remove_prefix(name.size());
    const std::size_t first = line.find_first_not_of(' ');
    const std::size_t last = line.find_last_not_of(" \r\n");
    return first == std::string_view::npos ? std::string() : std::string(line.substr(first, last - first + 1));
}

std::size_t readHeader(char *data, std::size_t size, std::size_t count, void *destination)
{
    RefusalHeaders *headers = static_cast<RefusalHeaders *>(destination);
    const std::string_view line(data, size * count);
    if (const std::string refusal = valueAfter(line, "hyssophall-refusal:"); !refusal.empty()) {
        headers->refusal = refusal;
    }
    if (const std::string outcome = valueAfter(line, "hyssophall-outcome:"); !outcome.empty()) {
        headers->outcome = outcome;
    }
    return size * count;
}

} // namespace

LoadRun::LoadRun(Options options)
    : options(std::move(options))
{
}

nlohmann::json LoadRun::run()
{
    const SteadyTime start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (int connection = 0; connection < this->options.connections; ++connection) {
        threads.emplace_back([this, connection, start] { this->sendUntilDone(connection, start); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return this->summary(std::chrono::steady_clock::now() - start);
}

bool LoadRun::takeTurn(SteadyTime start, SteadyTime &due)
{
    const std::uint64_t turn = this->taken++;
    if (turn >= this->options.maximumRequests) {
        return false;
    }
    due = std::chrono::steady_clock::now();
    if (this->options.rate > 0) {
        const std::chrono::duration<double> offset(static_cast<double>(turn) / this->options.rate);
        due = start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(offset);
    }
    // Slow answers make the connections lag behind the rate; the run still ends on time.
    const SteadyTime end = start + this->options.duration;
    return due < end && std::chrono::steady_clock::now() < end;
}

void LoadRun::sendUntilDone(int connection, SteadyTime start)
{
    const std::string &url = this->options.urls[static_cast<std::size_t>(connection) % this->options.urls.size()];
    std::random_device device;
    CURL *handle = curl_easy_init();
    SteadyTime due;
    while (this->takeTurn(start, due)) {
        std::this_thread::sleep_until(due);
        RefusalHeaders refusalHeaders;
        curl_slist *headers = curl_slist_append(nullptr, "Expect:");
        headers = curl_slist_append(headers, ("Authorization: Bearer " + this->options.key).c_str());
        if (this->options.idempotencyKeys) {
            const std::string value = std::to_string(device()) + "-" + std::to_string(device()) + "-" + std::to_string(device());
            headers = curl_slist_append(headers, ("Idempotency-Key: " + value).c_str());
        }
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(this->options.timeout.count()));
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, discardBody);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, readHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &refusalHeaders);
        if (this->options.method != "GET") {
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, this->options.method.c_str());
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(this->options.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, this->options.body.c_str());
        }
        const SteadyTime sentAt = std::chrono::steady_clock::now();
        const CURLcode result = curl_easy_perform(handle);
        Answer answer;
        answer.latency = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - sentAt);
        if (result == CURLE_OK) {
            curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
            answer.refusal = refusalHeaders.refusal;
            answer.outcome = refusalHeaders.outcome;
        }
        curl_slist_free_all(headers);
        this->note(answer);
    }
    curl_easy_cleanup(handle);
}

void LoadRun::note(const Answer &answer)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->latencies.push_back(answer.latency);
    if (answer.status == 0) {
        ++this->failed;
        return;
    }
    ++this->statuses[std::to_string(answer.status)];
    if (!answer.refusal.empty()) {
        ++this->refusals[answer.refusal];
        ++this->outcomes[answer.outcome];
    }
}

nlohmann::json LoadRun::summary(std::chrono::duration<double> duration) const
{
    std::vector<std::chrono::microseconds> sorted = this->latencies;
    std::sort(sorted.begin(), sorted.end());
    const auto percentile = [&sorted](double share) -> std::int64_t {
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))].count();
    };
    return {
        {"requests", sorted.size()},
        {"seconds", duration.count()},
        {"statuses", this->statuses},
        {"refusals", this->refusals},
        {"outcomes", this->outcomes},
        {"failed", this->failed},
        {"latency_us", {{"p50", percentile(0.5)}, {"p90", percentile(0.9)}, {"p99", percentile(0.99)}, {"max", percentile(1.0)}}},
    };
}

} // namespace Hyssophall
