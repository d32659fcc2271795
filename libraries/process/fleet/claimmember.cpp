#include "process/fleet/claimmember.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds pageTimeout{500};

} // namespace

std::shared_ptr<ClaimMember> ClaimMember::create(FleetContext context, ClaimStore::Options options, std::shared_ptr<ClaimGroups> groups)
{
    return std::shared_ptr<ClaimMember>(new ClaimMember(std::move(context), options, std::move(groups)));
}

ClaimMember::ClaimMember(FleetContext context, ClaimStore::Options options, std::shared_ptr<ClaimGroups> groups)
    : context(std::move(context))
    , options(options)
    , groups(std::move(groups))
    , store(options, this->context.clock())
    , start(this->context.clock())
{
}

FleetMessages::ClaimReply ClaimMember::claim(const FleetMessages::ClaimRequest &request)
{
    const std::shared_ptr<const Roster> roster = this->context.roster();
    const std::shared_ptr<const std::set<std::uint32_t>> ownGroups = this->groups->groupsWith(*roster, this->context.self);
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->context.clock();
    this->applyRoster(*roster, *ownGroups, now);
    return this->store.claim(request, roster->version(), now);
}

FleetMessages::FinishClaimReply ClaimMember::finishClaim(const FleetMessages::FinishClaimRequest &request)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->store.finish(request, this->context.clock());
    return {};
}

FleetMessages::RecoverClaimsReply ClaimMember::recoverClaims(const FleetMessages::RecoverClaimsRequest &request)
{
    const std::shared_ptr<const Roster> roster = this->context.roster();
    const std::shared_ptr<const std::set<std::uint32_t>> ownGroups = this->groups->groupsWith(*roster, this->context.self);
    std::lock_guard<std::mutex> lock(this->mutex);
    const SteadyTime now = this->context.clock();
    this->applyRoster(*roster, *ownGroups, now);
    const std::string &member = request.member();
    FleetMessages::RecoverClaimsReply reply = this->store.page(
        request, [this, &roster, &member](std::uint32_t group) { return this->groups->committeeOf(*roster, group)->contains(member); }, now);
    reply.set_complete_source(this->hasCompleteRecords);
    return reply;
}

void ClaimMember::step()
{
    const std::shared_ptr<const Roster> roster = this->context.roster();
    const std::shared_ptr<const std::set<std::uint32_t>> ownGroups = this->groups->groupsWith(*roster, this->context.self);
    std::vector<CatalogueMessages::Member> due;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->context.clock();
        this->applyRoster(*roster, *ownGroups, now);
        this->endRecoveries(*roster, now);
        this->startTransfers(*roster, now);
        for (std::pair<const std::string, Transfer> &transfer : this->transfers) {
            const CatalogueMessages::Member *source = roster->find(transfer.first);
            if (source != nullptr && now >= transfer.second.requestTime + pageTimeout) {
                transfer.second.requestTime = now;
                due.push_back(*source);
            }
        }
    }
    for (const CatalogueMessages::Member &source : due) {
        this->requestPage(source);
    }
}

void ClaimMember::applyRoster(const Roster &roster, const std::set<std::uint32_t> &ownGroups, SteadyTime now)
{
    if (roster.find(this->context.self) == nullptr || (this->started && roster.version() == this->rosterVersion)) {
        return;
    }
    const bool isFirstStart = !this->started && isAdmittedIncarnation(roster, this->context.self, this->context.incarnation);
    if (isFirstStart) {
        this->hasCompleteRecords = true;
    }
    for (const std::uint32_t group : ownGroups) {
        if (!isFirstStart && !this->currentGroups.contains(group)) {
            this->recoveries.try_emplace(group, Recovery{now, {}});
        }
    }
    this->currentGroups = ownGroups;
    this->rosterVersion = roster.version();
    this->started = true;
    this->updateStoredRecoveries();
}

std::size_t ClaimMember::requiredSources(const Committee &committee)
{
    const std::size_t size = committee.members().size();
    const std::size_t intersectingEachQuorum = size - committee.quorum() + 1;
    // Committees of more than 4 have quorums of two thirds. One more source covers claims that were granted while a roster change was
    // spreading.
    return std::min(size - 1, size > 4 ? intersectingEachQuorum + 1 : intersectingEachQuorum);
}

void ClaimMember::endRecoveries(const Roster &roster, SteadyTime now)
{
    for (auto current = this->recoveries.begin(); current != this->recoveries.end();) {
        const std::shared_ptr<const Committee> committee = this->groups->committeeOf(roster, current->first);
        const std::size_t sources = static_cast<std::size_t>(std::count_if(committee->members().begin(),
            committee->members().end(),
            [current](const CatalogueMessages::Member &member) { return current->second.sources.contains(member.id()); }));
        // A VM outside the committee gets no new claims of the group, so its recovery ends and starts again if the VM returns to the committee.
        const bool isOver
            = !committee->contains(this->context.self) || sources >= requiredSources(*committee) || now >= current->second.since + this->options.retention;
        current = isOver ? this->recoveries.erase(current) : std::next(current);
    }
    if (this->started && this->recoveries.empty()) {
        this->hasCompleteRecords = true;
    }
    this->updateStoredRecoveries();
}

void ClaimMember::startTransfers(const Roster &roster, SteadyTime now)
{
    std::map<std::string, std::set<std::uint32_t>> groupsBySource;
    for (const std::pair<const std::uint32_t, Recovery> &group : this->recoveries) {
        const std::shared_ptr<const Committee> committee = this->groups->committeeOf(roster, group.first);
        for (const CatalogueMessages::Member &member : committee->members()) {
            if (member.id() != this->context.self && !group.second.sources.contains(member.id())) {
                groupsBySource[member.id()].insert(group.first);
            }
        }
    }
    std::erase_if(
        this->transfers, [&groupsBySource](const std::pair<const std::string, Transfer> &transfer) { return !groupsBySource.contains(transfer.first); });
    for (std::pair<const std::string, std::set<std::uint32_t>> &source : groupsBySource) {
        this->transfers.try_emplace(source.first, Transfer{std::move(source.second), {}, roster.version(), now - pageTimeout});
    }
}

void ClaimMember::requestPage(const CatalogueMessages::Member &source)
{
    FleetMessages::RecoverClaimsRequest request;
    request.set_member(this->context.self);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const auto transfer = this->transfers.find(source.id());
        if (transfer == this->transfers.end()) {
            return;
        }
        request.set_after_key_hash(transfer->second.after);
    }
    const std::weak_ptr<ClaimMember> weak = this->weak_from_this();
    this->context.transport->recoverClaims(
        source.fleet_address(), request, pageTimeout, [weak, source](const boost::leaf::result<FleetMessages::RecoverClaimsReply> &reply) {
            const std::shared_ptr<ClaimMember> member = weak.lock();
            if (member != nullptr) {
                member->handlePage(source, reply);
            }
        });
}

void ClaimMember::handlePage(const CatalogueMessages::Member &source, const boost::leaf::result<FleetMessages::RecoverClaimsReply> &reply)
{
    if (!reply) {
        return;
    }
    bool hasMorePages = false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        const SteadyTime now = this->context.clock();
        const auto transfer = this->transfers.find(source.id());
        // Merged even if the source is incomplete: each record that it does have is valid.
        this->store.merge(*reply, now);
        if (transfer == this->transfers.end()) {
            return;
        }
        if (reply->more() && reply->records_size() > 0) {
            transfer->second.after = std::max(transfer->second.after, reply->records(reply->records_size() - 1).key_hash());
            transfer->second.requestTime = now;
            hasMorePages = true;
        } else {
            for (const std::uint32_t group : transfer->second.groups) {
                const auto found = this->recoveries.find(group);
                if (reply->complete_source() && found != this->recoveries.end()) {
                    found->second.sources.insert(source.id());
                }
            }
            this->transfers.erase(transfer);
        }
    }
    if (hasMorePages) {
        this->requestPage(source);
    }
}

void ClaimMember::updateStoredRecoveries()
{
    std::set<std::uint32_t> recovering;
    for (const std::pair<const std::uint32_t, Recovery> &group : this->recoveries) {
        recovering.insert(group.first);
    }
    this->store.setRecovering(std::move(recovering));
}

std::size_t ClaimMember::recoveringGroups() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->recoveries.size();
}

} // namespace Hyssophall
