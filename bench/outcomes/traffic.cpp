#include "traffic.h"

#include <thread>

namespace HyssophallBench {

using namespace Hyssophall;

namespace {

constexpr int senders = 128;
constexpr const char *requestTimeout = "2000";

bool isFailureCode(const std::string &refusal)
{
    return refusal == "upstream_failed" || refusal == "instance_unreachable" || refusal == "answer_incomplete" || refusal == "deadline_exceeded";
}

} // namespace

bool Sample::isAnswered() const
{
    return this->status >= 200 && this->status < 300;
}

bool Sample::isFailure() const
{
    return this->status == 0 || isFailureCode(this->refusal) || (this->refusal.empty() && this->status >= 500);
}

bool Sample::isRefused() const
{
    return !this->refusal.empty() && !isFailureCode(this->refusal);
}

Traffic::Traffic(Side &side, const Scenario &scenario, const std::vector<std::string> &keys)
    : side(side)
    , scenario(scenario)
    , keys(keys)
    , results(scenario.arrivals.size())
{
}

void Traffic::run(SteadyTime start)
{
    std::vector<std::thread> threads;
    for (int sender = 0; sender < senders; ++sender) {
        threads.emplace_back([this, start] { this->sendUntilDone(start); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

const std::vector<Sample> &Traffic::samples() const
{
    return this->results;
}

void Traffic::sendUntilDone(SteadyTime start)
{
    for (std::size_t index = this->next++; index < this->results.size(); index = this->next++) {
        const std::chrono::duration<double> offset(this->scenario.arrivals[index].at);
        const SteadyTime due = start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(offset);
        std::this_thread::sleep_until(due);
        this->sendOne(index, due);
    }
}

void Traffic::sendOne(std::size_t index, SteadyTime due)
{
    const Arrival &arrival = this->scenario.arrivals[index];
    const FaultWindow &window = this->scenario.windows[arrival.window];
    const ServicePlan &service = this->scenario.services[arrival.service];
    const bool uneven = window.kind == FaultKind::UnevenBalancer && arrival.at < window.clear;
    Sample &sample = this->results[index];
    sample.vm = this->side.chooseVm(arrival.balancerDraw, uneven);
    Harness::HttpRequest request;
    request.method = service.idempotent ? "GET" : "POST";
    request.url = this->side.callerUrl(sample.vm) + "/" + service.name + "/entry";
    request.headers = {{"Authorization", "Bearer " + this->keys[arrival.team]}, {"X-Request-Timeout-Ms", requestTimeout}};
    if (!service.idempotent) {
        request.headers["Idempotency-Key"] = "request-" + std::to_string(index);
        request.body = "amount=1";
    }
    const Harness::HttpResponse answer = Harness::send(request);
    sample.status = answer.status;
    sample.refusal = answer.header("hyssophall-refusal");
    sample.milliseconds = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - due).count();
}

} // namespace HyssophallBench
