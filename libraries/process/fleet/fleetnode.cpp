#include "process/fleet/fleetnode.h"

#include <future>
#include <memory>
#include <mutex>
#include <random>

namespace Hyssophall {

namespace {

/// Answers of some rounds; answers beyond are dropped as if they were lost on the way.
constexpr std::size_t answerCapacity = 256;
constexpr std::size_t tickCapacity = 1;
/// One fetch runs at a time; answers to fetches that were given up may come beside it.
constexpr std::size_t catalogueCapacity = 4;
/// A thread looks this often whether it shall stop.
constexpr std::chrono::milliseconds idleWait{100};
/// Each round tells two members; eight hear it at once and pass it on.
constexpr int leaveRounds = 4;

RandomSource createRandomSource()
{
    struct Generator {
        std::mutex mutex;
        std::mt19937_64 engine{std::random_device()()};
    };
    const std::shared_ptr<Generator> generator = std::make_shared<Generator>();
    return [generator] {
        std::lock_guard<std::mutex> lock(generator->mutex);
        return generator->engine();
    };
}

} // namespace

FleetNode::FleetNode(const Options &options, FleetTransport &transport, const CatalogueSource &catalogue)
    : gossipInterval(options.gossipInterval)
    , answers(answerCapacity)
    , registrarTicks(tickCapacity)
    , catalogues(catalogueCapacity)
    , core(options.core,
          transport,
          catalogue,
          {[] { return std::chrono::steady_clock::now(); },
              createRandomSource(),
              [this](Task task) { this->answers.tryPush(std::move(task)); },
              [this](Task task) { this->catalogues.tryPush(std::move(task)); }})
{
    this->addUrgentListeners();
}

FleetNode::~FleetNode()
{
    this->stop();
}

void FleetNode::installHandlers(FleetHandlers &handlers)
{
    this->core.installHandlers(handlers);
}

MemberView &FleetNode::members()
{
    return this->core.members();
}

RecordStore &FleetNode::records()
{
    return this->core.records();
}

bool FleetNode::announce(const FleetMessages::AnnounceRequest &request, SteadyTime deadline)
{
    const std::shared_ptr<std::promise<bool>> promise = std::make_shared<std::promise<bool>>();
    std::future<bool> accepted = promise->get_future();
    this->core.announce(request, [promise](const FleetMessages::AnnounceReply &reply) { promise->set_value(reply.accepted()); });
    return accepted.wait_until(deadline) == std::future_status::ready && accepted.get();
}

bool FleetNode::publish(const FleetMessages::Record &record)
{
    return this->core.publish(record);
}

void FleetNode::addUrgentListeners()
{
    RecordStore &store = this->core.records();
    store.addPoisonListener([this](std::uint64_t, SteadyTime) { this->hurry(); });
    store.addEjectionListener([this](const FleetMessages::Ejection &, SteadyTime) { this->hurry(); });
    store.addInstanceListener([this](const FleetMessages::Instance &instance) {
        if (instance.state() == FleetMessages::INSTANCE_STATE_LEAVING) {
            this->hurry();
        }
    });
}

void FleetNode::hurry()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    SteadyTime last = this->lastHurry;
    if (now - last < shortestInterval || !this->lastHurry.compare_exchange_strong(last, now)) {
        return;
    }
    this->answers.tryPush([this] { this->core.gossipTick(); });
}

void FleetNode::start()
{
    this->gossipThread = std::thread([this] { this->runGossip(); });
    this->registrarThread = std::thread([this] { this->runRegistrar(); });
    this->catalogueThread = std::thread([this] { this->runCatalogue(); });
}

void FleetNode::leave()
{
    this->core.leave();
    // Shards and registrations have no owner until the others know, so the news doesn't wait for the next rounds.
    for (int round = 0; round < leaveRounds; ++round) {
        this->answers.tryPush([this] { this->core.gossipTick(); });
    }
    std::this_thread::sleep_for(2 * this->gossipInterval);
}

void FleetNode::stop()
{
    this->stopping = true;
    this->answers.close();
    this->registrarTicks.close();
    this->catalogues.close();
    for (std::thread *thread : {&this->gossipThread, &this->registrarThread, &this->catalogueThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

void FleetNode::runTasks(Ring &ring, SteadyTime until)
{
    // The ring hands out elements after the deadline too: a flood of answers must not hold up the next round.
    while (std::chrono::steady_clock::now() < until) {
        const std::optional<Task> task = ring.popUntil(until);
        if (!task) {
            return;
        }
        (*task)();
    }
}

void FleetNode::runGossip()
{
    SteadyTime next = std::chrono::steady_clock::now();
    while (!this->stopping) {
        this->core.gossipTick();
        this->registrarTicks.tryPush([this] { this->core.registrarTick(); });
        // After a stall, missed rounds are not made up for.
        next = std::max(next + this->gossipInterval, std::chrono::steady_clock::now());
        runTasks(this->answers, next);
    }
}

void FleetNode::runRegistrar()
{
    while (!this->stopping) {
        runTasks(this->registrarTicks, std::chrono::steady_clock::now() + idleWait);
    }
}

void FleetNode::runCatalogue()
{
    while (!this->stopping) {
        runTasks(this->catalogues, std::chrono::steady_clock::now() + idleWait);
    }
}

} // namespace Hyssophall
