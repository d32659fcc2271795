#include "process/fleet/fleetnode.h"

#include <future>
#include <memory>
#include <mutex>
#include <random>

namespace Hyssophall {

namespace {

/// Enough for the replies of several rounds. Further replies are dropped, which has the effect of messages lost in transit.
constexpr std::size_t gossipTaskCapacity = 256;
constexpr std::size_t registrarTickCapacity = 1;
/// One fetch runs at a time, but late replies to abandoned fetches may arrive as well.
constexpr std::size_t catalogueTaskCapacity = 4;
/// How often a thread without work checks whether it must stop.
constexpr std::chrono::milliseconds stopCheckInterval{100};
/// Rounds that are started at once when this VM leaves. With two members per round, eight members receive it and spread it.
constexpr int roundsBeforeLeaving = 4;

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
    , gossipTasks(gossipTaskCapacity)
    , registrarTicks(registrarTickCapacity)
    , catalogueTasks(catalogueTaskCapacity)
    , core(options.core,
          transport,
          catalogue,
          {[] { return std::chrono::steady_clock::now(); },
              createRandomSource(),
              [this](Task task) { this->gossipTasks.tryPush(std::move(task)); },
              [this](Task task) { this->catalogueTasks.tryPush(std::move(task)); }})
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
    store.addPoisonListener([this](std::uint64_t, SteadyTime) { this->requestGossipRound(); });
    store.addEjectionListener([this](const FleetMessages::Ejection &, SteadyTime) { this->requestGossipRound(); });
    store.addInstanceListener([this](const FleetMessages::Instance &instance) {
        if (instance.state() == FleetMessages::INSTANCE_STATE_LEAVING) {
            this->requestGossipRound();
        }
    });
}

void FleetNode::requestGossipRound()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    SteadyTime last = this->lastRequestedRound;
    if (now - last < minimumRoundInterval || !this->lastRequestedRound.compare_exchange_strong(last, now)) {
        return;
    }
    this->gossipTasks.tryPush([this] { this->core.gossipTick(); });
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
    // This VM's shards and registrations have no owner until the others know that it leaves. Therefore these rounds start at once.
    for (int round = 0; round < roundsBeforeLeaving; ++round) {
        this->gossipTasks.tryPush([this] { this->core.gossipTick(); });
    }
    std::this_thread::sleep_for(2 * this->gossipInterval);
}

void FleetNode::stop()
{
    this->stopping = true;
    this->gossipTasks.close();
    this->registrarTicks.close();
    this->catalogueTasks.close();
    for (std::thread *thread : {&this->gossipThread, &this->registrarThread, &this->catalogueThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

void FleetNode::runTasks(Ring &ring, SteadyTime until)
{
    // popUntil() returns queued tasks even after the deadline. This check keeps many replies from delaying the next round.
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
        // Rounds that were missed while this VM was suspended aren't repeated.
        next = std::max(next + this->gossipInterval, std::chrono::steady_clock::now());
        runTasks(this->gossipTasks, next);
    }
}

void FleetNode::runRegistrar()
{
    while (!this->stopping) {
        runTasks(this->registrarTicks, std::chrono::steady_clock::now() + stopCheckInterval);
    }
}

void FleetNode::runCatalogue()
{
    while (!this->stopping) {
        runTasks(this->catalogueTasks, std::chrono::steady_clock::now() + stopCheckInterval);
    }
}

} // namespace Hyssophall
