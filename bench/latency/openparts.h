#pragma once

#include "process/proxy/requesthandler.h"

namespace HyssophallBench {

/// Stand-ins that let everything through, so that only the request path itself is measured.
class OpenLease : public Hyssophall::ServingLease
{
public:
    bool isHeld() const override
    {
        return true;
    }

    bool isCatalogueCurrent() const override
    {
        return true;
    }
};

class OpenLimiter : public Hyssophall::RateLimiter
{
public:
    Hyssophall::RateDecision acquire(const std::string &, Hyssophall::SteadyTime) override
    {
        return {Hyssophall::RateDecision::Kind::Granted};
    }

    void returnToken(const std::string &) override
    {
    }
};

class OpenClaims : public Hyssophall::ClaimCoordinator
{
public:
    Hyssophall::ClaimResult claim(const std::string &, const std::string &, std::uint64_t, Hyssophall::SteadyTime) override
    {
        return {Hyssophall::ClaimResult::Kind::Granted, "", std::nullopt};
    }

    void finish(const std::string &, const std::string &, const std::string &, const hyssophall::fleet::v1::ClaimOutcome &, Hyssophall::SteadyTime) override
    {
    }

    void release(const std::string &, const std::string &, const std::string &) override
    {
    }
};

class OpenCapacity : public Hyssophall::CapacityQueue
{
public:
    class OpenPermit : public Permit
    {
    public:
        void finish(Hyssophall::CapacitySignal, std::chrono::microseconds) override
        {
        }
    };

    std::unique_ptr<Permit> acquire(const std::string &, const std::string &, double, Hyssophall::SteadyTime) override
    {
        return std::make_unique<OpenPermit>();
    }
};

/// Knows one instance.
class OneInstance : public Hyssophall::InstanceHealth
{
public:
    explicit OneInstance(std::uint16_t port)
    {
        this->instance.set_id("one");
        this->instance.set_host("127.0.0.1");
        this->instance.set_port(port);
    }

    std::optional<hyssophall::fleet::v1::Instance> choose(const Hyssophall::InstanceQuery &query) override
    {
        return query.tried.empty() ? std::optional<hyssophall::fleet::v1::Instance>(this->instance) : std::nullopt;
    }

    void finish(const hyssophall::fleet::v1::Instance &, Hyssophall::TryOutcome, std::chrono::microseconds, std::uint64_t) override
    {
    }

    bool isPoison(std::uint64_t) const override
    {
        return false;
    }

private:
    hyssophall::fleet::v1::Instance instance;
};

} // namespace HyssophallBench
