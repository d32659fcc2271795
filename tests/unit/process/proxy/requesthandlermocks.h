#pragma once

#include "process/proxy/requesthandler.h"
#include "request/callerkey.h"
#include "request/retrybudget.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace HyssophallTest {

/// A catalogue with the routes /read (idempotent), /write (non-idempotent), /open (needs no key) and /blue (allowed for team blue only).
class MockLookup : public Hyssophall::CatalogueLookup
{
public:
    MockLookup()
    {
        this->addRoute("/read", Hyssophall::CatalogueMessages::ROUTE_CLASS_IDEMPOTENT);
        this->addRoute("/write", Hyssophall::CatalogueMessages::ROUTE_CLASS_NON_IDEMPOTENT);
        this->addRoute("/open", Hyssophall::CatalogueMessages::ROUTE_CLASS_IDEMPOTENT).set_open(true);
        this->addRoute("/blue", Hyssophall::CatalogueMessages::ROUTE_CLASS_IDEMPOTENT).add_teams("blue");
    }

    std::shared_ptr<const Hyssophall::CatalogueMessages::Route> findRoute(std::string_view, std::string_view, std::string_view path) const override
    {
        const auto found = this->routes.find(path);
        return found == this->routes.end() ? nullptr : found->second;
    }

    std::shared_ptr<const Hyssophall::CatalogueMessages::Team> findTeam(std::string_view name) const override
    {
        std::shared_ptr<Hyssophall::CatalogueMessages::Team> team = std::make_shared<Hyssophall::CatalogueMessages::Team>();
        team->set_name(std::string(name));
        return team;
    }

    std::shared_ptr<const Hyssophall::CatalogueMessages::Key> findKey(const Hyssophall::KeyHash &hash) const override
    {
        if (this->keysLeft > 0 && hash == Hyssophall::callerKeyHash({{"X-Api-Key", "red-key"}})) {
            --this->keysLeft;
            std::shared_ptr<Hyssophall::CatalogueMessages::Key> key = std::make_shared<Hyssophall::CatalogueMessages::Key>();
            key->set_team("red");
            return key;
        }
        return nullptr;
    }

    /// The key "red-key" is withdrawn after this many lookups.
    mutable std::atomic<int> keysLeft{1000000};

private:
    Hyssophall::CatalogueMessages::Route &addRoute(const std::string &path, Hyssophall::CatalogueMessages::RouteClass routeClass)
    {
        std::shared_ptr<Hyssophall::CatalogueMessages::Route> route = std::make_shared<Hyssophall::CatalogueMessages::Route>();
        route->set_name(path.substr(1));
        route->set_service("service");
        route->set_route_class(routeClass);
        this->routes[path] = route;
        return *route;
    }

    std::map<std::string, std::shared_ptr<Hyssophall::CatalogueMessages::Route>, std::less<>> routes;
};

class MockLease : public Hyssophall::ServingLease
{
public:
    bool isHeld() const override
    {
        return this->held;
    }

    bool isCatalogueCurrent() const override
    {
        return this->current;
    }

    bool held = true;
    bool current = true;
};

class MockLimiter : public Hyssophall::RateLimiter
{
public:
    Hyssophall::RateDecision acquire(const std::string &, Hyssophall::SteadyTime) override
    {
        this->taken += this->kind == Hyssophall::RateDecision::Kind::Granted ? 1 : 0;
        return {this->kind, std::chrono::milliseconds(1500)};
    }

    void returnToken(const std::string &) override
    {
        --this->taken;
    }

    Hyssophall::RateDecision::Kind kind = Hyssophall::RateDecision::Kind::Granted;
    std::atomic<int> taken{0};
};

class MockClaims : public Hyssophall::ClaimCoordinator
{
public:
    Hyssophall::ClaimResult claim(const std::string &, const std::string &, std::uint64_t, Hyssophall::SteadyTime) override
    {
        ++this->claimed;
        return this->result;
    }

    void finish(
        const std::string &, const std::string &, const std::string &, const hyssophall::fleet::v1::ClaimOutcome &outcome, Hyssophall::SteadyTime) override
    {
        this->finished.push_back(outcome);
    }

    void release(const std::string &, const std::string &, const std::string &) override
    {
        ++this->released;
    }

    Hyssophall::ClaimResult result{Hyssophall::ClaimResult::Kind::Granted, "attempt", std::nullopt};
    int claimed = 0;
    int released = 0;
    std::vector<hyssophall::fleet::v1::ClaimOutcome> finished;
};

class MockCapacity : public Hyssophall::CapacityQueue
{
public:
    class MockPermit : public Permit
    {
    public:
        void finish(Hyssophall::CapacitySignal, std::chrono::microseconds) override
        {
        }
    };

    std::unique_ptr<Permit> acquire(const std::string &, const std::string &, double, Hyssophall::SteadyTime) override
    {
        return this->full ? nullptr : std::make_unique<MockPermit>();
    }

    bool full = false;
};

/// Chooses the first instance that wasn't tried yet.
class MockHealth : public Hyssophall::InstanceHealth
{
public:
    explicit MockHealth(const std::vector<std::uint16_t> &ports = {1, 2, 3, 4})
    {
        for (std::uint16_t port : ports) {
            hyssophall::fleet::v1::Instance &instance = this->instances.emplace_back();
            instance.set_id(std::to_string(this->instances.size()) + ":" + std::to_string(port));
            instance.set_host("127.0.0.1");
            instance.set_port(port);
        }
    }

    std::optional<hyssophall::fleet::v1::Instance> choose(const Hyssophall::InstanceQuery &query) override
    {
        for (const hyssophall::fleet::v1::Instance &instance : this->instances) {
            if (query.tried.count(instance.id()) == 0) {
                ++this->inFlight;
                return instance;
            }
        }
        return std::nullopt;
    }

    std::optional<std::chrono::milliseconds> perTryTimeout(const std::string &) const override
    {
        return this->usualPerTryTimeout;
    }

    void finish(const hyssophall::fleet::v1::Instance &, Hyssophall::TryOutcome outcome, std::chrono::microseconds, std::uint64_t) override
    {
        --this->inFlight;
        std::lock_guard<std::mutex> lock(this->mutex);
        this->outcomes.push_back(outcome);
    }

    bool isPoison(std::uint64_t) const override
    {
        return this->poison;
    }

    std::optional<std::chrono::milliseconds> poisonSuspicion(std::uint64_t) const override
    {
        return this->suspicion;
    }

    std::string describePoison(std::uint64_t) const override
    {
        return "i-1 round 1 age_ms=20";
    }

    std::vector<hyssophall::fleet::v1::Instance> instances;
    std::mutex mutex;
    std::vector<Hyssophall::TryOutcome> outcomes;
    std::atomic<int> inFlight{0};
    bool poison = false;
    std::optional<std::chrono::milliseconds> suspicion;
    std::optional<std::chrono::milliseconds> usualPerTryTimeout;
};

/// Returns prepared results, or 200 if there are none. Calls the check before sending, as the real HTTP client does.
class MockSender : public Hyssophall::UpstreamSender
{
public:
    Hyssophall::UpstreamResult send(const Hyssophall::UpstreamCall &call) override
    {
        Hyssophall::UpstreamResult result;
        if (call.mayBeSent && !call.mayBeSent()) {
            result.failure = Hyssophall::UpstreamFailure{Hyssophall::UpstreamFailureKind::RejectedBeforeSend, false, false};
            return result;
        }
        this->calls.push_back(call);
        if (this->isSlow && call.idempotent && call.mayRetry && call.mayBeAborted && call.mayBeAborted()) {
            result.failure = Hyssophall::UpstreamFailure{Hyssophall::UpstreamFailureKind::TimedOut, true, false};
            return result;
        }
        if (this->results.empty()) {
            result.response = Hyssophall::HttpResponse{200, {{"Content-Type", "text/plain"}}, "done"};
            return result;
        }
        result = this->results.front();
        this->results.pop_front();
        return result;
    }

    void addFailure(Hyssophall::UpstreamFailureKind kind, bool mayHaveSent)
    {
        this->results.emplace_back().failure = Hyssophall::UpstreamFailure{kind, mayHaveSent, false};
    }

    void addResponse(int status, const Hyssophall::HttpHeaders &headers = {})
    {
        this->results.emplace_back().response = Hyssophall::HttpResponse{status, headers, ""};
    }

    /// Whether each try lasts until its try deadline.
    bool isSlow = false;
    std::vector<Hyssophall::UpstreamCall> calls;
    std::deque<Hyssophall::UpstreamResult> results;
};

/// A request handler whose components are all mocks, apart from the retry budget.
struct MockedRequestHandler {
    explicit MockedRequestHandler(Hyssophall::UpstreamSender *otherSender = nullptr, const std::vector<std::uint16_t> &ports = {1, 2, 3, 4})
        : health(ports)
        , path({[this] { return this->lookup; },
                   this->lease,
                   this->limiter,
                   this->claims,
                   this->capacity,
                   this->health,
                   otherSender == nullptr ? this->sender : *otherSender,
                   this->retries,
                   std::chrono::steady_clock::now,
                   [this] { return ++this->counter; },
                   {},
                   [this](Hyssophall::SteadyTime deadline) { this->awaitCatalogue(deadline); }},
              {})
    {
    }

    Hyssophall::CallerResponse handle(const std::string &method, const std::string &target, const Hyssophall::HttpHeaders &more = {})
    {
        Hyssophall::CallerRequest request;
        request.http = {method, target, {{"Authorization", "Bearer red-key"}}, ""};
        request.http.headers.insert(request.http.headers.end(), more.begin(), more.end());
        request.arrival = std::chrono::steady_clock::now();
        return this->path.handle(request);
    }

    std::shared_ptr<MockLookup> lookup = std::make_shared<MockLookup>();
    MockLease lease;
    MockLimiter limiter;
    MockClaims claims;
    MockCapacity capacity;
    MockHealth health;
    MockSender sender;
    std::function<void(Hyssophall::SteadyTime)> awaitCatalogue = [](Hyssophall::SteadyTime) {};
    Hyssophall::RetryBudget retries;
    std::atomic<std::uint64_t> counter{0};
    Hyssophall::RequestHandler path;
};

} // namespace HyssophallTest
